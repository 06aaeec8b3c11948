package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * Reports this router's demand for models to the leader and, while this router is the leader,
 * announces to all routers the models that upstreams hold. Control thread only.
 */
final class DemandReporter {
    /** Requests that are queued within this time share a report. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(2);

    /** Without a least gap, each request of a series would cause a report of the whole demand. */
    private static final Duration MIN_REPORT_GAP = Duration.ofMillis(40);

    /** Unchanged demand is reported again after this, before the last report expires. */
    private static final Duration UNCHANGED_REPORT_PERIOD = Duration.ofMillis(600);

    /**
     * The counts of running requests decide which models are unloaded, but change with each
     * request; a change in them alone is reported after this.
     */
    private static final Duration RUNNING_REPORT_PERIOD = Duration.ofMillis(250);

    private final VmId self;
    private final Dependencies dependencies;
    private boolean reportScheduled;
    private Map<UpstreamId, Map<ModelRef, Integer>> reportedRunning = Map.of();
    private Instant reportedAt = Instant.MIN;

    /** The classes that reports are read from and sent through. */
    record Dependencies(
            ControlThread control,
            KeyValueStore store,
            Membership members,
            PeerRouters peers,
            LeaderLease lease,
            LoadCoordinator coordinator,
            UpstreamDispatcher dispatcher,
            ConfigurationHolder configuration,
            ZoneDrains drains,
            UpstreamTable upstreams,
            EventLoopLag lag) {}

    DemandReporter(VmId self, Dependencies dependencies) {
        this.self = self;
        this.dependencies = dependencies;
    }

    /** Schedules a report, because a request was queued for a model that no upstream holds. */
    void reportSoon() {
        if (!reportScheduled) {
            reportScheduled = true;
            dependencies.control().after(delayToNextReport(), this::sendScheduledReport);
        }
    }

    private Duration delayToNextReport() {
        if (reportedAt.equals(Instant.MIN)) {
            return BATCH_DELAY;
        }
        Instant next = reportedAt.plus(MIN_REPORT_GAP);
        Duration delay = Duration.between(dependencies.control().clock().instant(), next);
        return delay.compareTo(BATCH_DELAY) > 0 ? delay : BATCH_DELAY;
    }

    /** Reports the demand to the leader, or to this router's planner, if a report is due. */
    void report() {
        LoadInput.DemandReported demand = dependencies.dispatcher().demand(self);
        if (dependencies.lease().held()) {
            dependencies.coordinator().demandReported(demand);
            return;
        }
        Optional<VmId> to = dependencies.members().leader().filter(vm -> !vm.equals(self));
        if (to.isPresent() && isReportDue(demand)) {
            reportedRunning = demand.running();
            reportedAt = dependencies.control().clock().instant();
            send(to, demand);
        }
    }

    /** Reports the whole demand to a leader that was just elected. */
    void reportToNewLeader() {
        reportedAt = Instant.MIN;
        report();
    }

    // Unchanged reports of an idle router would wake both VMs seven times a second.
    private boolean isReportDue(LoadInput.DemandReported demand) {
        if (demand.hasWaitingRequests() || reportedAt.equals(Instant.MIN)) {
            return true;
        }
        boolean changed = !demand.running().equals(reportedRunning);
        Instant now = dependencies.control().clock().instant();
        return !now.isBefore(
                reportedAt.plus(changed ? RUNNING_REPORT_PERIOD : UNCHANGED_REPORT_PERIOD));
    }

    /**
     * Sends the report to the routers that watch the store on behalf of all: any of them may become
     * the leader and need the demand, and they answer with what this router lacks.
     */
    void gossip() {
        announceHeldModels();
        send(Optional.empty(), dependencies.dispatcher().demand(self));
    }

    /**
     * Announces the models that upstreams hold to all routers, if this one is the leader. An
     * announcement that was sent while a link was down is lost; without another, the other router
     * would wait for a model that is ready until the upstream's own registration arrives seconds
     * later.
     */
    void announceHeldModels() {
        Map<UpstreamId, HeldModels> heldModels = dependencies.coordinator().heldModels();
        if (!heldModels.isEmpty()) {
            dependencies
                    .peers()
                    .announceHeldModels(dependencies.coordinator().fencing(), heldModels);
        }
    }

    private void sendScheduledReport() {
        reportScheduled = false;
        report();
    }

    private void send(Optional<VmId> to, LoadInput.DemandReported demand) {
        RouterStatus status =
                new RouterStatus(
                        dependencies.configuration().revision(),
                        dependencies.upstreams().revision(),
                        dependencies.drains().current(),
                        dependencies.store().up(),
                        dependencies.lag().average());
        dependencies.peers().report(to, demand, status);
    }
}
