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
    private static final Duration URGENT = Duration.ofMillis(2);

    /** Without a least gap, each request of a series would cause a report of the whole demand. */
    private static final Duration URGENT_GAP = Duration.ofMillis(40);

    /** Unchanged demand is reported again after this, before the last report expires. */
    private static final Duration UNCHANGED = Duration.ofMillis(600);

    /**
     * The counts of running requests decide which models are unloaded, but change with each
     * request; a change in them alone is reported after this.
     */
    private static final Duration RUNNING_CHANGED = Duration.ofMillis(250);

    private final VmId self;
    private final Parts parts;
    private boolean planned;
    private Map<UpstreamId, Map<ModelRef, Integer>> reportedRunning = Map.of();
    private Instant reportedAt = Instant.MIN;

    /** The classes that reports are read from and sent through. */
    record Parts(
            ControlThread control,
            KeyValueStore store,
            Membership members,
            PeerRouters neighbours,
            LeaderLease lease,
            LoadCoordinator leader,
            Dispatch dispatch,
            ConfigurationHolder configuration,
            ZoneDrains drains,
            UpstreamTable upstreams,
            LoopLag lag) {}

    DemandReporter(VmId self, Parts parts) {
        this.self = self;
        this.parts = parts;
    }

    /** Schedules a report, because a request was queued for a model that no upstream holds. */
    void reportSoon() {
        if (!planned) {
            planned = true;
            parts.control().after(delayToNextReport(), this::sendScheduledReport);
        }
    }

    private Duration delayToNextReport() {
        if (reportedAt.equals(Instant.MIN)) {
            return URGENT;
        }
        Instant next = reportedAt.plus(URGENT_GAP);
        Duration pause = Duration.between(parts.control().clock().instant(), next);
        return pause.compareTo(URGENT) > 0 ? pause : URGENT;
    }

    /** Reports the demand to the leader, or to this router's planner, if a report is due. */
    void report() {
        LoadInput.DemandReported demanded = parts.dispatch().demand(self);
        if (parts.lease().held()) {
            parts.leader().demandReported(demanded);
            return;
        }
        Optional<VmId> to = parts.members().leader().filter(leader -> !leader.equals(self));
        if (to.isPresent() && isReportDue(demanded)) {
            reportedRunning = demanded.running();
            reportedAt = parts.control().clock().instant();
            send(to, demanded);
        }
    }

    /** Reports the whole demand to a leader that was just elected. */
    void reportToNewLeader() {
        reportedAt = Instant.MIN;
        report();
    }

    // Unchanged reports of an idle router would wake both VMs seven times a second.
    private boolean isReportDue(LoadInput.DemandReported demanded) {
        if (demanded.hasWaitingRequests() || reportedAt.equals(Instant.MIN)) {
            return true;
        }
        boolean changed = !demanded.running().equals(reportedRunning);
        Instant now = parts.control().clock().instant();
        return !now.isBefore(reportedAt.plus(changed ? RUNNING_CHANGED : UNCHANGED));
    }

    /**
     * Sends the report to the routers that watch the store on behalf of all: any of them may become
     * the leader and need the demand, and they answer with what this router lacks.
     */
    void gossip() {
        announceHeldModels();
        send(Optional.empty(), parts.dispatch().demand(self));
    }

    /**
     * Announces the models that upstreams hold to all routers, if this one is the leader. An
     * announcement that was sent while a link was down is lost; without another, the other router
     * would wait for a model that is ready until the upstream's own registration arrives seconds
     * later.
     */
    void announceHeldModels() {
        Map<UpstreamId, HeldModels> news = parts.leader().heldModels();
        if (!news.isEmpty()) {
            parts.neighbours().announceHeldModels(parts.leader().fencing(), news);
        }
    }

    private void sendScheduledReport() {
        planned = false;
        report();
    }

    private void send(Optional<VmId> to, LoadInput.DemandReported demanded) {
        RouterStatus standing =
                new RouterStatus(
                        parts.configuration().revision(),
                        parts.upstreams().revision(),
                        parts.drains().known(),
                        parts.store().up(),
                        parts.lag().average());
        parts.neighbours().report(to, demanded, standing);
    }
}
