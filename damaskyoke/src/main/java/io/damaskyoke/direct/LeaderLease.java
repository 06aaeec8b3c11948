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
 * Elects the leader, the one router at a time that may send load orders to upstreams, by a lease in
 * the store. The leader's fencing token is the store revision at which it was elected, so that each
 * later leader has a higher one. Control thread only.
 *
 * <p>A leader that is suspended, partitioned from the store or rejected by it stops by its own
 * clock before the lease in the store can have expired; the clock counts the time of a suspension.
 */
final class LeaderLease {
    private static final Logger LOG = LogManager.getLogger(LeaderLease.class);
    private static final Duration TICK = Duration.ofMillis(150);
    private static final Duration TERM = Duration.ofMillis(2_400);

    /** How long a revocation is retried; a stop and an outage rarely last longer. */
    private static final Duration REVOKE_RETRY_TIME = Duration.ofSeconds(8);

    /**
     * A former leader is no candidate for this long: two leaders that alternate would undo each
     * other's plans.
     */
    private static final Duration CANDIDATE_PAUSE = Duration.ofSeconds(5);

    /**
     * A candidate waits for its own control thread's lag times this, so that a router with less lag
     * is elected first.
     */
    private static final int LAG_FACTOR = 5;

    /** After this long without a leader, any router is a candidate. */
    private static final Duration LONGEST_CANDIDATE_DELAY = Duration.ofMillis(700);

    private final ControlThread control;
    private final KeyValueStore store;
    private final Membership members;
    private final VmId self;
    private final EventLoopLag lag;
    private final LeaseMachine machine = new LeaseMachine(TERM);
    private Listener listener;
    private long fencing;
    private Instant candidateNotBefore = Instant.MIN;
    private Instant yieldUntil = Instant.MIN;
    private Instant vacantSince = Instant.MAX;

    /** Whether this router found no sign of an earlier leader when it last asked to be elected. */
    private boolean isFirst;

    private boolean closed;

    /** Is notified when this router becomes the leader, and when it no longer is. */
    interface Listener {
        /**
         * This router became the leader, and may send orders from now on.
         *
         * @param mayFollowOthers whether there may have been a leader before; false only for the
         *     first one of a fleet
         */
        void won(boolean mayFollowOthers);

        /** This router is no longer the leader, and must not send any more orders. */
        void lost();
    }

    LeaderLease(
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

    void start(Listener listener) {
        this.listener = listener;
        control.every(TICK, this::tick);
    }

    /** Returns true if this router is the leader now and may send an order. */
    boolean held() {
        return !closed && machine.isHeld(control.clock().instant());
    }

    /** Returns the fencing token of every order; valid only while {@link #held()}. */
    long fencing() {
        return fencing;
    }

    /** Ends the lease at once, so that another router is elected without waiting for its expiry. */
    void resign(String why) {
        if (held()) {
            LOG.info("resigning as leader: {}", why);
        }
        feed(new LeaseInput.Resigned());
        candidateNotBefore = control.clock().instant().plus(CANDIDATE_PAUSE);
    }

    /**
     * Returns the id of the lease in the store, by which another router can revoke it; valid only
     * while {@link #held()}.
     */
    long leaseId() {
        return machine.leaseId();
    }

    /** Resigns, and is no candidate from now on. */
    void close() {
        resign("this router stops");
        closed = true;
    }

    private void tick() {
        Instant now = control.clock().instant();
        boolean mayBeCandidate =
                vacantLongEnough(now)
                        && !now.isBefore(candidateNotBefore)
                        && !mustYieldToOthers(now);
        if (!closed && (machine.isHeld(now) || mayBeCandidate)) {
            feed(new LeaseInput.Tick());
        } else if (!machine.isHeld(now)) {
            // Notifies the listener of an expiry that no input has reported yet.
            machine.on(new LeaseInput.Failed(), now).forEach(this::carryOut);
        }
    }

    // Routers that watch the store on behalf of all know the demand of all routers and become
    // candidates first; of these, the ones with the least lag. If all became candidates at once,
    // dozens of routers would request a lease from the store each time.
    private boolean vacantLongEnough(Instant now) {
        if (!members.isLeadershipVacant()) {
            vacantSince = Instant.MAX;
            return false;
        }
        if (vacantSince.equals(Instant.MAX)) {
            vacantSince = now;
        }
        Duration lagDelay = lag.average().multipliedBy(LAG_FACTOR);
        Duration candidateDelay =
                lagDelay.compareTo(LONGEST_CANDIDATE_DELAY) < 0
                        ? lagDelay
                        : LONGEST_CANDIDATE_DELAY;
        boolean isPreferred = members.watchesStore() || members.ownLeaderRevision() != 0;
        return !now.isBefore(
                vacantSince.plus(isPreferred ? candidateDelay : LONGEST_CANDIDATE_DELAY));
    }

    // A lease that expired here during an outage may still exist in the store, whose clock stops
    // while it is down. Then no other router can have been the leader, and this one continues at
    // once.
    private boolean mustYieldToOthers(Instant now) {
        return members.ownLeaderRevision() == 0 && now.isBefore(yieldUntil);
    }

    private void feed(LeaseInput input) {
        machine.on(input, control.clock().instant()).forEach(this::carryOut);
    }

    private void carryOut(LeaseAction action) {
        if (action instanceof LeaseAction.GrantLease grant) {
            LOG.info(
                    "candidate for leader, revision of own leader entry: {}",
                    members.ownLeaderRevision());
            feedAnswer(store.grantLease(grant.term()), LeaseInput.Granted::new);
        } else if (action instanceof LeaseAction.AcquireKey acquire) {
            feedAnswer(acquire(acquire.lease()), this::acquired);
        } else if (action instanceof LeaseAction.KeepAlive keep) {
            feedAnswer(
                    store.keepAlive(keep.lease()),
                    alive -> new LeaseInput.KeepAliveAnswered(alive, keep.askedAt()));
        } else if (action instanceof LeaseAction.RevokeLease revoke) {
            revoke(revoke.lease(), control.clock().instant().plus(REVOKE_RETRY_TIME));
        } else if (action instanceof LeaseAction.StartLeading) {
            LOG.info("elected as leader, fencing token {}, first: {}", fencing, isFirst);
            listener.won(!isFirst);
        } else if (action instanceof LeaseAction.StopLeading) {
            LOG.info("no longer the leader");
            yieldUntil = control.clock().instant().plus(CANDIDATE_PAUSE);
            listener.lost();
        }
    }

    // Retried, because the lease of a router that stops during an outage of the store would
    // otherwise block the next leader until it expires after the outage.
    private void revoke(long leaseId, Instant until) {
        store.revokeLease(leaseId)
                .whenComplete(
                        (done, failure) ->
                                control.run(
                                        () -> {
                                            Instant now = control.clock().instant();
                                            if (failure != null && now.isBefore(until)) {
                                                control.after(TICK, () -> revoke(leaseId, until));
                                            }
                                        }));
    }

    private CompletionStage<TxnResult> acquire(long lease) {
        byte[] value = self.value().getBytes(StandardCharsets.UTF_8);
        String key = members.leaderKey();
        // Another router's entry is never overwritten, not even one written since this router saw
        // that there was none: both would send orders.
        long revision = members.ownLeaderRevision();
        Condition condition =
                revision == 0 ? new Condition.Absent(key) : new Condition.Unchanged(key, revision);
        Write entry = new Write.Put(key, value, lease);
        isFirst = !members.hadLeader();
        if (!isFirst) {
            return store.commit(List.of(condition), List.of(entry));
        }
        String firstKey = members.firstLeaderKey();
        return store.commit(
                List.of(condition, new Condition.Absent(firstKey)),
                List.of(entry, new Write.Put(firstKey, value, 0)));
    }

    private LeaseInput acquired(TxnResult result) {
        if (result.committed()) {
            fencing = result.revision();
        } else {
            LOG.info("another router was elected as leader first");
        }
        return new LeaseInput.Acquired(result.committed());
    }

    private <T> void feedAnswer(CompletionStage<T> stage, Function<T, LeaseInput> input) {
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
