package io.damaskyoke.mixed;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.placement.LeaseAction;
import io.damaskyoke.control.placement.LeaseInput;
import io.damaskyoke.control.placement.LeaseMachine;
import io.damaskyoke.control.placement.PlacementStore;
import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** One router's hold on the planner's lease: the real machine over the shared store. */
final class LeaderLease {
    static final Duration TERM = Duration.ofSeconds(10);

    private final ControlThread control;
    private final KeyValueStore store;
    private final PlacementStore table;
    private final Leases leases;
    private final LeaseMachine machine = new LeaseMachine(TERM);

    LeaderLease(ControlThread control, KeyValueStore store, Leases leases) {
        this.control = control;
        this.store = store;
        this.table = new PlacementStore(store, "t");
        this.leases = leases;
        control.every(Duration.ofMillis(250), () -> feed(new LeaseInput.Tick()));
    }

    /** Notes when the store would end a lease. */
    interface Leases {
        void keptAlive(long lease);
    }

    boolean held() {
        return machine.isHeld(control.clock().instant());
    }

    private void feed(LeaseInput input) {
        machine.on(input, control.clock().instant()).forEach(this::carryOut);
    }

    private void carryOut(LeaseAction action) {
        if (action instanceof LeaseAction.GrantLease grant) {
            CompletionStage<Long> granted = store.grantLease(grant.term());
            granted.thenAccept(leases::keptAlive);
            answer(granted, LeaseInput.Granted::new);
        } else if (action instanceof LeaseAction.AcquireKey acquire) {
            answer(table.acquireLease(acquire.lease(), new byte[0]), LeaseInput.Acquired::new);
        } else if (action instanceof LeaseAction.KeepAlive keep) {
            CompletionStage<Boolean> kept = store.keepAlive(keep.lease());
            kept.thenAccept(
                    alive -> {
                        if (alive) {
                            leases.keptAlive(keep.lease());
                        }
                    });
            answer(kept, alive -> new LeaseInput.KeepAliveAnswered(alive, keep.askedAt()));
        } else if (action instanceof LeaseAction.RevokeLease revoke) {
            store.revokeLease(revoke.lease());
        }
    }

    private <T> void answer(CompletionStage<T> stage, Function<T, LeaseInput> input) {
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
