package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.claims.ClaimAction;
import io.damaskyoke.control.claims.ClaimAction.Result;
import io.damaskyoke.control.claims.ClaimBatcher;
import io.damaskyoke.control.claims.ClaimInput;
import io.damaskyoke.control.claims.ClaimSettings;
import io.damaskyoke.control.claims.ClaimWrite;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.PlatformException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/**
 * Writes claims to the store in batches, by carrying out the actions of a {@link ClaimBatcher}.
 * Control thread only.
 */
final class ClaimStore {
    private final ControlThread control;
    private final KeyValueStore store;
    private final Metrics metrics;
    private final ClaimBatcher batcher;
    private final ClaimLease lease;
    private final Map<Long, CompletableFuture<Result>> submitted = new HashMap<>();
    private ControlThread.Cancellable timer = () -> {};
    private long lastId;

    ClaimStore(
            ControlThread control,
            KeyValueStore store,
            Metrics metrics,
            ClaimSettings settings,
            RandomGenerator random) {
        this.control = control;
        this.store = store;
        this.metrics = metrics;
        this.batcher = ClaimBatcher.of(settings, random);
        this.lease = new ClaimLease(store, settings.retention());
    }

    /** Returns the lease under which the last commit wrote its claims. */
    long lease() {
        return lease.id();
    }

    /** Returns the number of submitted writes that have no result yet. */
    int pendingWrites() {
        return submitted.size();
    }

    /**
     * Submits a write, which is committed when the batcher decides so. The result comes on the
     * control thread.
     */
    CompletionStage<Result> write(
            String key,
            Optional<Long> expectedRevision,
            Optional<byte[]> value,
            long ownLease,
            Instant giveUpAt,
            boolean urgent) {
        long id = ++lastId;
        CompletableFuture<Result> result = new CompletableFuture<>();
        submitted.put(id, result);
        feed(
                new ClaimInput.WriteSubmitted(
                        new ClaimWrite(
                                id, key, expectedRevision, value, ownLease, giveUpAt, urgent)));
        return result;
    }

    private void feed(ClaimInput input) {
        for (ClaimAction action : batcher.on(input, now())) {
            carryOut(action);
        }
    }

    private void carryOut(ClaimAction action) {
        if (action instanceof ClaimAction.Commit commit) {
            commit(commit.writes());
        } else if (action instanceof ClaimAction.CompleteWrite done) {
            control.run(() -> submitted.remove(done.id()).complete(done.result()));
        } else if (action instanceof ClaimAction.WakeAt wake) {
            timer.cancel();
            Duration wait = Duration.between(now(), wake.time());
            timer = control.after(wait, () -> feed(new ClaimInput.Tick()));
        }
    }

    private void commit(List<ClaimWrite> writes) {
        metrics.count("claim_commits");
        metrics.histogram("claim_commit_size").update(writes.size());
        lease.current(now())
                .whenComplete((id, failure) -> control.run(() -> commitUnder(writes, id, failure)));
    }

    private void commitUnder(List<ClaimWrite> writes, Long id, Throwable failure) {
        if (failure != null) {
            reportFailed(false);
            return;
        }
        lease.setCurrent(id, now());
        store.commit(
                        writes.stream().map(ClaimWrite::condition).toList(),
                        writes.stream().map(write -> write.toStoreWrite(id)).toList())
                .whenComplete(
                        (result, error) -> control.run(() -> handleCommitResult(result, error)));
    }

    private void handleCommitResult(KeyValueStore.TxnResult result, Throwable error) {
        if (error == null) {
            feed(new ClaimInput.CommitAnswered(result));
        } else {
            reportFailed(mayHaveTakenEffect(error));
        }
    }

    private void reportFailed(boolean mayHaveTakenEffect) {
        metrics.count("claim_commits_failed", "unknown", String.valueOf(mayHaveTakenEffect));
        lease.forget();
        feed(new ClaimInput.CommitFailed(mayHaveTakenEffect));
    }

    private static boolean mayHaveTakenEffect(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return !(cause instanceof PlatformException known
                && known.code() == PlatformException.Code.UNAVAILABLE);
    }

    private Instant now() {
        return control.clock().instant();
    }
}
