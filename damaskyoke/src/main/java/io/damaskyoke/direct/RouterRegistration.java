package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.TxnResult;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.PolledStore;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps this router's entry in the store, under a lease that it renews: {@code
 * registration.start()}, {@code registration.entrySeen(entry, revision)}. Control thread only.
 *
 * <p>A write that was not answered may be carried out seconds later, after the one that repeated
 * it. The entry is then under the earlier lease and ends with it. So the entry is watched, and not
 * only the lease.
 */
final class RouterRegistration {
    private static final Logger LOG = LogManager.getLogger(RouterRegistration.class);

    /**
     * After this the entry of a killed router expires; its next incarnation replaces the entry at
     * once.
     */
    private static final Duration TERM = Duration.ofSeconds(4);

    /** Two renewals may be lost before the entry expires; each renewal costs the store a call. */
    private static final Duration RENEWAL_PERIOD = Duration.ofMillis(1_500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /** Least time between registrations, should another process write the same entry. */
    private static final Duration MIN_GAP = Duration.ofSeconds(1);

    private final ControlThread control;
    private final PolledStore store;
    private final String key;
    private final byte[] value;
    private final Runnable onRegistered;
    private long leaseId;
    private long writtenRevision;
    private Instant registeredAt = Instant.MIN;
    private boolean registered;
    private boolean leaving;

    /** Number of the current attempt; what belongs to an earlier one is ignored. */
    private int attempt;

    RouterRegistration(
            ControlThread control,
            PolledStore store,
            String key,
            byte[] value,
            Runnable onRegistered) {
        this.control = control;
        this.store = store;
        this.key = key;
        this.value = value;
        this.onRegistered = onRegistered;
    }

    /** Returns the key of the entry. */
    String key() {
        return key;
    }

    /** Registers this router, and again whenever its entry is lost. */
    void start() {
        if (leaving) {
            return;
        }
        int current = ++attempt;
        registered = false;
        store.grantLease(TERM)
                .whenComplete(
                        (granted, failure) -> control.run(() -> leaseGranted(current, granted)));
    }

    /** Revokes the entry. */
    void end() {
        leaving = true;
        if (leaseId != 0) {
            store.revokeLease(leaseId);
        }
    }

    /**
     * Takes the entry as the store has it at that revision. If it is gone, or under another lease
     * and so about to go, this router registers again.
     */
    void entrySeen(Optional<Entry> entry, long revision) {
        if (!registered || revision <= writtenRevision || entry.filter(this::isOwn).isPresent()) {
            return;
        }
        LOG.info(
                "the entry of this router is {}", entry.isEmpty() ? "gone" : "under another lease");
        registered = false;
        int current = ++attempt;
        Duration since = Duration.between(registeredAt, control.clock().instant());
        Duration delay = since.compareTo(MIN_GAP) < 0 ? MIN_GAP : Duration.ZERO;
        control.after(delay, () -> startAgain(current));
    }

    // Entries that other routers relay come without their lease.
    private boolean isOwn(Entry entry) {
        return entry.lease() == leaseId || entry.lease() == 0;
    }

    private boolean isOver(int of) {
        return leaving || of != attempt;
    }

    private void startAgain(int after) {
        if (!isOver(after)) {
            start();
        }
    }

    private void leaseGranted(int current, Long granted) {
        if (isOver(current)) {
            return;
        }
        if (granted == null) {
            control.after(RETRY_DELAY, () -> startAgain(current));
            return;
        }
        leaseId = granted;
        store.commit(List.of(), List.of(new Write.Put(key, value, leaseId)))
                .whenComplete(
                        (result, failure) ->
                                control.run(
                                        () -> entryWritten(current, Optional.ofNullable(result))));
    }

    private void entryWritten(int current, Optional<TxnResult> result) {
        if (isOver(current)) {
            return;
        }
        if (result.isEmpty()) {
            control.after(RETRY_DELAY, () -> startAgain(current));
            return;
        }
        writtenRevision = result.get().revision();
        registeredAt = control.clock().instant();
        registered = true;
        control.after(RENEWAL_PERIOD, () -> keepAlive(current));
        onRegistered.run();
    }

    private void keepAlive(int current) {
        if (isOver(current)) {
            return;
        }
        store.keepAlive(leaseId)
                .whenComplete(
                        (alive, failure) ->
                                control.run(() -> keptAlive(current, failure != null, alive)));
    }

    private void keptAlive(int current, boolean failed, Boolean alive) {
        if (isOver(current)) {
            return;
        }
        if (failed) {
            control.after(RETRY_DELAY, () -> keepAlive(current));
        } else if (alive) {
            control.after(RENEWAL_PERIOD, () -> keepAlive(current));
        } else {
            LOG.info("the lease of this router's entry expired, registering again");
            start();
        }
    }
}
