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
 * Tells the leader what this router needs, and all routers what the leader knows. Control thread
 * only.
 */
final class DemandReports {
    /** Requests that come to wait together are told together. */
    private static final Duration URGENT = Duration.ofMillis(2);

    /** Requests that come to wait in a row would else each be a report of all that is needed. */
    private static final Duration URGENT_GAP = Duration.ofMillis(40);

    /** What has not changed is told again after this, while the last word still counts. */
    private static final Duration UNCHANGED = Duration.ofMillis(600);

    /** Which engines are in use decides what is unloaded, and changes with each request. */
    private static final Duration RUNNING_CHANGED = Duration.ofMillis(250);

    private final VmId self;
    private final Parts parts;
    private boolean planned;
    private Map<UpstreamId, Map<ModelRef, Integer>> reportedRunning = Map.of();
    private Instant reportedAt = Instant.MIN;

    /** What reports are made of, and where they go. */
    record Parts(
            ControlThread control,
            KeyValueStore store,
            Membership members,
            Neighbours neighbours,
            OrderLease lease,
            OrderLeader leader,
            UpstreamDispatcher dispatch,
            ConfigurationHolder configuration,
            ZoneDrains drains,
            UpstreamTable upstreams,
            LoopLag lag) {}

    DemandReports(VmId self, Parts parts) {
        this.self = self;
        this.parts = parts;
    }

    /** A request waits for a model that no upstream holds: the leader hears of it at once. */
    void soon() {
        if (!planned) {
            planned = true;
            parts.control().after(pause(), this::reportPlanned);
        }
    }

    private Duration pause() {
        if (reportedAt.equals(Instant.MIN)) {
            return URGENT;
        }
        Instant next = reportedAt.plus(URGENT_GAP);
        Duration pause = Duration.between(parts.control().clock().instant(), next);
        return pause.compareTo(URGENT) > 0 ? pause : URGENT;
    }

    /** Tells the leader, or this router's own planner, what is news to it. */
    void report() {
        LoadInput.DemandReported demanded = parts.dispatch().demand(self);
        if (parts.lease().held()) {
            parts.leader().demanded(demanded);
            return;
        }
        Optional<VmId> to = parts.members().leader().filter(leader -> !leader.equals(self));
        if (to.isPresent() && news(demanded)) {
            reportedRunning = demanded.running();
            reportedAt = parts.control().clock().instant();
            send(to, demanded);
        }
    }

    /** Tells a leader that has just come. */
    void reportAnew() {
        reportedAt = Instant.MIN;
        report();
    }

    // An idle router's report would wake both VMs seven times a second to say the same.
    private boolean news(LoadInput.DemandReported demanded) {
        if (demanded.hasWaitingRequests() || reportedAt.equals(Instant.MIN)) {
            return true;
        }
        boolean changed = !demanded.running().equals(reportedRunning);
        Instant now = parts.control().clock().instant();
        return !now.isBefore(reportedAt.plus(changed ? RUNNING_CHANGED : UNCHANGED));
    }

    /**
     * Tells the routers that follow the store for all, who need it should one of them become the
     * leader, and who have what this router may lack.
     */
    void gossip() {
        tellAll();
        send(Optional.empty(), parts.dispatch().demand(self));
    }

    /**
     * Tells all routers what upstreams hold, if this one gives the orders. News that was sent while
     * a link was down is lost. The other router would wait for a model that is ready, until the
     * upstream's own word has come round seconds later.
     */
    void tellAll() {
        Map<UpstreamId, HeldModels> news = parts.leader().allNews();
        if (!news.isEmpty()) {
            parts.neighbours().tell(parts.leader().fencing(), news);
        }
    }

    private void reportPlanned() {
        planned = false;
        report();
    }

    private void send(Optional<VmId> to, LoadInput.DemandReported demanded) {
        RouterStanding standing =
                new RouterStanding(
                        parts.configuration().revision(),
                        parts.upstreams().revision(),
                        parts.drains().known(),
                        parts.store().up(),
                        parts.lag().average());
        parts.neighbours().report(to, demanded, standing);
    }
}
