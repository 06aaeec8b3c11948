package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Stores what is quarantined so that it outlives the routers: all routers may be killed at once,
 * and would let the same requests crash upstreams again. Control thread only.
 */
public final class QuarantineStore {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** The longest lease that the store grants. */
    private static final Duration MAX_LEASE = Duration.ofMinutes(10);

    private final ControlThread control;
    private final KeyValueStore store;
    private final Function<CrashSuspect, String> prefix;
    private final Map<CrashSuspect, Quarantine.Entry> unwritten = new HashMap<>();

    /**
     * Creates a store.
     *
     * @param prefix returns the key prefix for suspects of the kind of this one
     */
    public QuarantineStore(
            ControlThread control, KeyValueStore store, Function<CrashSuspect, String> prefix) {
        this.control = control;
        this.store = store;
        this.prefix = prefix;
    }

    /**
     * Writes the entry, unless another router has and this one has not been tried since; retried
     * while the store is unavailable.
     */
    void write(Quarantine.Entry entry) {
        if (entry.equals(unwritten.put(entry.suspect(), entry))) {
            return;
        }
        writeUnlessReplaced(entry);
    }

    // The lease outlasts a short quarantine: a suspect stays quarantined until its trial succeeds.
    private void writeUnlessReplaced(Quarantine.Entry entry) {
        if (!entry.equals(unwritten.get(entry.suspect()))) {
            return;
        }
        store.grantLease(MAX_LEASE)
                .thenCompose(lease -> store.commit(conditions(entry), List.of(put(entry, lease))))
                .whenComplete((done, failure) -> control.run(() -> written(entry, failure)));
    }

    private List<Condition> conditions(Quarantine.Entry entry) {
        return entry.trials() == 0
                ? List.of(new Condition.Absent(key(entry.suspect())))
                : List.of();
    }

    private Write put(Quarantine.Entry entry, long lease) {
        byte[] value = Integer.toString(entry.trials()).getBytes(StandardCharsets.UTF_8);
        return new Write.Put(key(entry.suspect()), value, lease);
    }

    private void written(Quarantine.Entry entry, Throwable failure) {
        if (failure != null) {
            control.after(RETRY_DELAY, () -> writeUnlessReplaced(entry));
        } else {
            unwritten.remove(entry.suspect(), entry);
        }
    }

    /** Removes the suspect; retried while the store is unavailable. */
    void remove(CrashSuspect suspect) {
        unwritten.remove(suspect);
        removeUnlessWritten(suspect);
    }

    private void removeUnlessWritten(CrashSuspect suspect) {
        if (unwritten.containsKey(suspect)) {
            return;
        }
        store.commit(List.of(), List.of(new Write.Delete(key(suspect))))
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                control.run(
                                        () ->
                                                control.after(
                                                        RETRY_DELAY,
                                                        () -> removeUnlessWritten(suspect)));
                            }
                        });
    }

    private String key(CrashSuspect suspect) {
        return prefix.apply(suspect) + suspect.id();
    }
}
