package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.placement.LeaseAction;
import io.damaskyoke.control.placement.LeaseInput;
import io.damaskyoke.control.placement.LeaseMachine;
import io.damaskyoke.control.placement.PlacementStore;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.node.Node;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Acquires and renews the placement lease, which makes a router the leader, by carrying out the
 * actions of a {@link LeaseMachine} at the store. Control thread only.
 */
final class PlacementLease {
    private static final Duration TICK = Duration.ofMillis(250);

    private final ControlThread control;
    private final KeyValueStore store;
    private final PlacementStore table;
    private final Timeline timeline;
    private final Incarnation self;
    private final LeaseMachine machine;
    private Runnable onWon = () -> {};

    PlacementLease(Node node, PlacementStore table, Duration term) {
        this.control = node.control();
        this.store = node.store();
        this.table = table;
        this.timeline = node.timeline();
        this.self = node.incarnation();
        this.machine = new LeaseMachine(term);
    }

    /** Starts trying to acquire the lease. {@code callback} runs each time it is acquired. */
    void start(Runnable callback) {
        onWon = callback;
        feed(new LeaseInput.Tick());
        control.every(TICK, () -> feed(new LeaseInput.Tick()));
    }

    boolean isHeld() {
        return machine.isHeld(control.clock().instant());
    }

    private void feed(LeaseInput input) {
        machine.on(input, control.clock().instant()).forEach(this::carryOut);
    }

    private void carryOut(LeaseAction action) {
        if (action instanceof LeaseAction.GrantLease grant) {
            feedResult(store.grantLease(grant.term()), LeaseInput.Granted::new);
        } else if (action instanceof LeaseAction.AcquireKey acquire) {
            byte[] value = self.value().getBytes(StandardCharsets.UTF_8);
            feedResult(table.acquireLease(acquire.lease(), value), LeaseInput.Acquired::new);
        } else if (action instanceof LeaseAction.KeepAlive keep) {
            feedResult(
                    store.keepAlive(keep.lease()),
                    alive -> new LeaseInput.KeepAliveAnswered(alive, keep.askedAt()));
        } else if (action instanceof LeaseAction.RevokeLease revoke) {
            store.revokeLease(revoke.lease());
        } else if (action instanceof LeaseAction.StartLeading) {
            timeline.add(EventType.LEASE_WON, self.value());
            onWon.run();
        } else if (action instanceof LeaseAction.StopLeading) {
            timeline.add(EventType.LEASE_LOST, self.value());
        }
    }

    private <T> void feedResult(CompletionStage<T> stage, Function<T, LeaseInput> input) {
        stage.whenComplete(
                (value, failure) ->
                        control.run(
                                () ->
                                        feed(
                                                failure == null
                                                        ? input.apply(value)
                                                        : new LeaseInput.Failed())));
    }
}
