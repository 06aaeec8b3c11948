package io.damaskyoke.agent;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.node.Node;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.Registration;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * Writes this agent's registration to the store, retrying until a write succeeds, and removes it at
 * a graceful stop.
 */
final class Registrar {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ControlThread control;
    private final KeyValueStore store;
    private final String key;
    private final byte[] value;
    private boolean withdrawn;

    Registrar(Node node, Registration registration) {
        this.control = node.control();
        this.store = node.store();
        this.key = node.storePrefix() + Registration.PREFIX + registration.vm();
        this.value = registration.toJson();
    }

    void start() {
        control.run(this::write);
    }

    /** Removes the registration, waiting at most {@code limit} for the store. */
    void withdraw(Duration limit) {
        control.call(this::remove)
                .thenCompose(stage -> stage)
                .exceptionally(failure -> null)
                .toCompletableFuture()
                .completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS)
                .join();
    }

    private void write() {
        if (withdrawn) {
            return;
        }
        store.commit(List.of(), List.of(new Write.Put(key, value, 0)))
                .whenComplete((result, failure) -> control.run(() -> writeCompleted(failure)));
    }

    private void writeCompleted(Throwable failure) {
        if (failure != null) {
            control.after(RETRY_DELAY, this::write);
        }
    }

    // A successor on the same VM may have registered already; removing its registration would hide
    // a live agent from every router. So only the value of this incarnation is removed.
    private CompletionStage<Void> remove() {
        withdrawn = true;
        return store.read(key).thenCompose(this::removeOwn);
    }

    private CompletionStage<Void> removeOwn(Optional<KeyValueStore.Entry> found) {
        return found.filter(entry -> Arrays.equals(entry.value(), value))
                .map(
                        entry ->
                                store.commit(
                                        List.of(new Condition.Unchanged(key, entry.modRevision())),
                                        List.of(new Write.Delete(key))))
                .<CompletionStage<Void>>map(stage -> stage.thenApply(result -> null))
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }
}
