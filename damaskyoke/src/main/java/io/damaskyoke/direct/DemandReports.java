package io.damaskyoke.direct;

import io.damaskyoke.control.Control;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Tells the giver of orders what this router needs, and all routers what the giver knows. Control
 * thread only.
 */
final class DemandReports {
    /** Requests that come to wait together are told together. */
    private static final Duration URGENT = Duration.ofMillis(2);

    private final VmId self;
    private final Parts parts;
    private boolean planned;

    /** What reports are made of, and where they go. */
    record Parts(
            Control control,
            KeyValueStore store,
            Membership members,
            Neighbours neighbours,
            OrderLease lease,
            OrderGiver giver,
            Dispatch dispatch,
            ConfigurationHolder configuration,
            UpstreamTable upstreams) {}

    DemandReports(VmId self, Parts parts) {
        this.self = self;
        this.parts = parts;
    }

    /** A request waits for a model that no upstream holds: the giver hears of it at once. */
    void soon() {
        if (!planned) {
            planned = true;
            parts.control().after(URGENT, this::reportPlanned);
        }
    }

    /** Tells the giver of orders, or this router's own planner if it gives them. */
    void report() {
        LoadInput.Demanded demanded = parts.dispatch().demand(self);
        Optional<VmId> to = parts.members().giver();
        if (parts.lease().held()) {
            parts.giver().demanded(demanded);
        } else if (to.isPresent() && !to.get().equals(self)) {
            send(to, demanded);
        }
    }

    /** Tells all routers, who need it should one of them become the giver. */
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
        Map<UpstreamId, HeldModels> news = parts.giver().allNews();
        if (!news.isEmpty()) {
            parts.neighbours().tell(parts.giver().fencing(), news);
        }
    }

    private void reportPlanned() {
        planned = false;
        report();
    }

    private void send(Optional<VmId> to, LoadInput.Demanded demanded) {
        parts.neighbours()
                .report(
                        to,
                        demanded,
                        parts.configuration().revision(),
                        parts.upstreams().revision(),
                        parts.store().up());
    }
}
