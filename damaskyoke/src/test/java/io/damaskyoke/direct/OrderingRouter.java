package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.Pace;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;

/**
 * The part of a router that is elected as leader and sends orders, on a VM that can be suspended.
 */
final class OrderingRouter {
    private static final Pace PACE = new Pace(Duration.ofMillis(2_500), Duration.ZERO);
    private static final Duration TICK = Duration.ofMillis(50);

    private final VmId vm;
    private final FreezingControl control;
    private final RouterStore store;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final OrderLease lease;
    private final OrderLeader leader;

    OrderingRouter(String name, ControlThread world, LeasedStore leased, OrderWorld engines) {
        this.vm = VmId.of(name);
        this.control = new FreezingControl(world);
        this.store = new RouterStore(world, leased);
        LoopLag lag = new LoopLag(TICK);
        Membership members =
                new Membership(
                        control,
                        store,
                        "p",
                        new RouterEntry(vm, "a", "127.0.0.1", 1),
                        PACE,
                        Relay.none(),
                        new Metrics());
        this.lease = new OrderLease(control, store, members, vm, lag);
        this.leader =
                new OrderLeader(
                        control,
                        upstreams,
                        lease,
                        engines.callsOf(control),
                        vm,
                        engines.newsOf(vm));
        members.start(() -> {});
        leader.start(() -> {});
    }

    VmId vm() {
        return vm;
    }

    boolean leads() {
        return lease.held();
    }

    void configured(DirectConfiguration configuration) {
        control.run(() -> leader.configured(configuration));
    }

    void listed(UpstreamFacts facts) {
        control.run(
                () -> {
                    if (upstreams.put(facts, control.clock().instant())) {
                        leader.listed(facts);
                    }
                });
    }

    void gone(UpstreamId id, long revision) {
        control.run(
                () -> {
                    if (upstreams.remove(id, revision)) {
                        leader.gone(id);
                    }
                });
    }

    void demanded(LoadInput.DemandReported demanded) {
        control.run(() -> leader.demanded(demanded));
    }

    void unanswered(UnansweredLoadOrder load) {
        control.run(() -> leader.unanswered(load));
    }

    void resign() {
        control.run(() -> lease.resign("the simulation asks for it"));
    }

    void freeze() {
        if (!control.frozen()) {
            control.freeze();
        }
    }

    void thaw() {
        if (control.frozen()) {
            control.thaw();
        }
    }

    void cut(boolean value) {
        store.cut(value);
    }
}
