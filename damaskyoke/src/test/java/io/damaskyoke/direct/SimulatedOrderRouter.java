package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.PollTiming;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.util.OptionalDouble;

/**
 * The part of a router that is elected as leader and sends orders, on a VM that can be suspended.
 */
final class SimulatedOrderRouter {
    private static final PollTiming PACE = new PollTiming(Duration.ofMillis(2_500), Duration.ZERO);
    private static final Duration TICK = Duration.ofMillis(50);

    private final VmId vm;
    private final FreezableControlThread control;
    private final DisconnectableStore store;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final LeaderLease lease;
    private final LoadCoordinator leader;
    private boolean killed;

    SimulatedOrderRouter(
            String name, ControlThread world, LeasedStore leased, OrderSimulation engines) {
        this.vm = VmId.of(name);
        this.control = new FreezableControlThread(world);
        this.store = new DisconnectableStore(world, leased);
        EventLoopLag lag = new EventLoopLag(TICK);
        Membership members =
                new Membership(
                        control,
                        store,
                        "p",
                        new RouterEntry(vm, "a", "127.0.0.1", 1, OptionalDouble.empty()),
                        PACE,
                        Relay.none(),
                        new Metrics());
        this.lease = new LeaderLease(control, store, members, vm, lag);
        this.leader =
                new LoadCoordinator(
                        control,
                        upstreams,
                        lease,
                        engines.callsOf(control),
                        vm,
                        engines.announcementsOf(vm),
                        engines.roundClock(),
                        ModelSizeRecord.of(control, store, members));
        members.start(() -> {});
        leader.start(() -> {});
    }

    VmId vm() {
        return vm;
    }

    boolean isLeader() {
        return lease.held();
    }

    void configurationChanged(DirectConfiguration configuration) {
        control.run(() -> leader.configurationChanged(configuration));
    }

    void upstreamListed(UpstreamFacts facts) {
        control.run(
                () -> {
                    if (upstreams.put(facts, control.clock().instant())) {
                        leader.upstreamListed(facts);
                    }
                });
    }

    void upstreamRemoved(UpstreamId id, long revision) {
        control.run(
                () -> {
                    if (upstreams.remove(id, revision)) {
                        leader.upstreamRemoved(id);
                    }
                });
    }

    void demandReported(LoadInput.DemandReported demanded) {
        control.run(() -> leader.demandReported(demanded));
    }

    void unansweredLoadAnnounced(UnansweredLoadOrder load) {
        control.run(() -> leader.unansweredLoadAnnounced(load));
    }

    void resign() {
        control.run(() -> lease.resign("the simulation asks for it"));
    }

    void suspend() {
        if (!control.frozen()) {
            control.freeze();
        }
    }

    void resume() {
        if (!killed) {
            if (control.frozen()) {
                control.unfreeze();
            }
        }
    }

    /** Ends this life of the router for good. */
    void kill() {
        killed = true;
        suspend();
    }

    void setPartitioned(boolean value) {
        store.cut(value);
    }
}
