package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.placement.LeaseAction;
import io.damaskyoke.control.placement.LeaseInput;
import io.damaskyoke.control.placement.LeaseMachine;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.TxnResult;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Lets one router at a time give orders to upstreams. Its fencing token is the store's revision at
 * which it became the leader, so each later one's is higher. Control thread only.
 *
 * <p>A leader that is frozen, cut off or turned away stops by its own clock before the store's
 * lease can have ended; the clock counts the time of a freeze.
 */
final class OrderLease {
    private static final Logger LOG = LogManager.getLogger(OrderLease.class);
    private static final Duration TICK = Duration.ofMillis(150);
    private static final Duration TERM = Duration.ofMillis(2_400);

    /** How long an end is told the store again; a stop and an outage rarely last longer. */
    private static final Duration REVOKING = Duration.ofSeconds(8);

    /** Two leaders that take turns would undo each other's plans; who was one waits this long. */
    private static final Duration PAUSE = Duration.ofSeconds(5);

    /** So many times as long as its thread is late a router leaves the orders to quicker ones. */
    private static final int LATE_FACTOR = 5;

    /** After this any router stands for the orders. */
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(700);

    private final ControlThread control;
    private final KeyValueStore store;
    private final Membership members;
    private final VmId self;
    private final EventLoopLag lag;
    private final LeaseMachine machine = new LeaseMachine(TERM);
    private Listener listener;
    private long fencing;
    private Instant notBefore = Instant.MIN;
    private Instant lapsedUntil = Instant.MIN;
    private Instant vacantSince = Instant.MAX;
    private boolean closed;

    /** Hears when this router becomes the leader, and when it no longer is. */
    interface Listener {
        /** Orders may be given from now on. */
        void won();

        /** No order may be given any more. */
        void lost();
    }

    OrderLease(
            ControlThread control,
            KeyValueStore store,
            Membership members,
            VmId self,
            EventLoopLag lag) {
        this.control = control;
        this.store = store;
        this.members = members;
        this.self = self;
        this.lag = lag;
    }

    void start(Listener given) {
        listener = given;
        control.every(TICK, this::tick);
    }

    /** True if an order may be given at this moment. */
    boolean held() {
        return !closed && machine.isHeld(control.clock().instant());
    }

    /** Goes along with every order; only while {@link #held()}. */
    long fencing() {
        return fencing;
    }

    /** Gives it up at once, so that another router goes on without waiting for its end. */
    void resign(String why) {
        if (held()) {
            LOG.info("this router resigns: {}", why);
        }
        feed(new LeaseInput.Resigned());
        notBefore = control.clock().instant().plus(PAUSE);
    }

    /**
     * The store's number of the lease, for another router to end it there; only while {@link
     * #held()}.
     */
    long number() {
        return machine.leaseId();
    }

    /** Gives it up for good. */
    void close() {
        resign("it stops");
        closed = true;
    }

    private void tick() {
        Instant now = control.clock().instant();
        boolean mayStand = vacantForLong(now) && !now.isBefore(notBefore) && !givesWay(now);
        if (!closed && (machine.isHeld(now) || mayStand)) {
            feed(new LeaseInput.Tick());
        } else if (!machine.isHeld(now)) {
            // An end that nobody noticed is noticed here.
            machine.on(new LeaseInput.Failed(), now).forEach(this::carryOut);
        }
    }

    // Those that follow the store for all know what all routers need, and come first; of them those
    // that are quickest. All at once, dozens of routers would ask the store for a lease each time.
    private boolean vacantForLong(Instant now) {
        if (!members.vacant()) {
            vacantSince = Instant.MAX;
            return false;
        }
        if (vacantSince.equals(Instant.MAX)) {
            vacantSince = now;
        }
        Duration behind = lag.average().multipliedBy(LATE_FACTOR);
        Duration pause = behind.compareTo(LONGEST_PAUSE) < 0 ? behind : LONGEST_PAUSE;
        boolean first = members.watches() || members.ownLeaderRevision() != 0;
        return !now.isBefore(vacantSince.plus(first ? pause : LONGEST_PAUSE));
    }

    // A lease that lapsed here in an outage may still stand in the store, which counts no time
    // while it is down. Then nobody else can have taken a turn, and the orders go on at once.
    private boolean givesWay(Instant now) {
        return members.ownLeaderRevision() == 0 && now.isBefore(lapsedUntil);
    }

    private void feed(LeaseInput input) {
        machine.on(input, control.clock().instant()).forEach(this::carryOut);
    }

    private void carryOut(LeaseAction action) {
        if (action instanceof LeaseAction.GrantLease grant) {
            LOG.info(
                    "this router stands for the orders, own entry at {}",
                    members.ownLeaderRevision());
            answer(store.grantLease(grant.term()), LeaseInput.Granted::new);
        } else if (action instanceof LeaseAction.AcquireKey acquire) {
            answer(acquire(acquire.lease()), this::acquired);
        } else if (action instanceof LeaseAction.KeepAlive keep) {
            answer(
                    store.keepAlive(keep.lease()),
                    alive -> new LeaseInput.KeepAliveAnswered(alive, keep.askedAt()));
        } else if (action instanceof LeaseAction.RevokeLease revoke) {
            revoke(revoke.lease(), control.clock().instant().plus(REVOKING));
        } else if (action instanceof LeaseAction.StartLeading) {
            LOG.info("this router gives the orders, fencing token {}", fencing);
            listener.won();
        } else if (action instanceof LeaseAction.StopLeading) {
            LOG.info("this router gives orders no longer");
            lapsedUntil = control.clock().instant().plus(PAUSE);
            listener.lost();
        }
    }

    // A router that stops in an outage of the store would else keep the next one waiting, until
    // its lease has run out after the store's return.
    private void revoke(long ended, Instant until) {
        store.revokeLease(ended)
                .whenComplete(
                        (done, failure) ->
                                control.run(
                                        () -> {
                                            Instant now = control.clock().instant();
                                            if (failure != null && now.isBefore(until)) {
                                                control.after(TICK, () -> revoke(ended, until));
                                            }
                                        }));
    }

    private CompletionStage<TxnResult> acquire(long lease) {
        byte[] value = self.value().getBytes(StandardCharsets.UTF_8);
        String key = members.leaderKey();
        // Another router's entry is never taken over, not even one that came since this router saw
        // that there was none: both would give orders.
        long revision = members.ownLeaderRevision();
        Condition condition =
                revision == 0 ? new Condition.Absent(key) : new Condition.Unchanged(key, revision);
        return store.commit(List.of(condition), List.of(new Write.Put(key, value, lease)));
    }

    private LeaseInput acquired(TxnResult result) {
        if (result.committed()) {
            fencing = result.revision();
        } else {
            LOG.info("another router was first to stand for the orders");
        }
        return new LeaseInput.Acquired(result.committed());
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
