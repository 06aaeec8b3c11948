package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Stores what is quarantined so that it outlives the routers: all routers may be killed at once,
 * and would let the same requests crash upstreams again. Control thread only.
 */
final class QuarantineStore {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** The longest lease that the store grants. */
    private static final Duration MAX_LEASE = Duration.ofMinutes(10);

    private final ControlThread control;
    private final KeyValueStore store;
    private final String prefix;

    /** Creates a store that writes each entry under the prefix and the request's digest. */
    QuarantineStore(ControlThread control, KeyValueStore store, String prefix) {
        this.control = control;
        this.store = store;
        this.prefix = prefix;
    }

    /** Writes the entry unless another router has; retried while the store is unavailable. */
    void write(Quarantine.Entry entry) {
        Duration left = Duration.between(now(), entry.until());
        if (left.compareTo(RETRY_DELAY) <= 0) {
            return;
        }
        Duration term = left.compareTo(MAX_LEASE) < 0 ? left : MAX_LEASE;
        store.grantLease(term)
                .thenCompose(
                        lease -> {
                            String key = key(entry.suspect());
                            byte[] value =
                                    Integer.toString(entry.trials())
                                            .getBytes(StandardCharsets.UTF_8);
                            return store.commit(
                                    List.of(new Condition.Absent(key)),
                                    List.of(new Write.Put(key, value, lease)));
                        })
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                control.run(() -> control.after(RETRY_DELAY, () -> write(entry)));
                            }
                        });
    }

    /** Removes the suspect; retried while the store is unavailable. */
    void remove(CrashSuspect suspect) {
        store.commit(List.of(), List.of(new Write.Delete(key(suspect))))
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                control.run(
                                        () -> control.after(RETRY_DELAY, () -> remove(suspect)));
                            }
                        });
    }

    private String key(CrashSuspect suspect) {
        return prefix + suspect.id();
    }

    private Instant now() {
        return control.clock().instant();
    }
}
