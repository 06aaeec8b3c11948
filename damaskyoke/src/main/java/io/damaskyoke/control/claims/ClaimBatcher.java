package io.damaskyoke.control.claims;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.claims.ClaimAction.Result;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.TxnResult;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * State machine that batches writes of claims for a few milliseconds and commits them in one
 * transaction, with one commit in flight at a time: {@code batcher.on(new
 * ClaimInput.WriteSubmitted(write), now)}.
 *
 * <p>The platform's store service counts calls, not keys, so writes that arrive during a commit
 * share the next one. If a transaction fails because of conflicts, the conflicting writes are
 * reported and the others are committed again.
 *
 * <p>If the answer of a commit is lost, its writes are committed again. Every claim contains the id
 * of its request, so a write that finds its own value in the store took effect the first time; no
 * other request can have written that value.
 */
public final class ClaimBatcher implements StateMachine<ClaimInput, ClaimAction> {
    private final ClaimSettings settings;
    private final RandomGenerator random;
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private List<Waiting> underWay = List.of();
    private Instant notBefore = Instant.MIN;
    private int failures;

    private ClaimBatcher(ClaimSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Creates a batcher without pending writes.
     *
     * @param random source of the jitter of the backoff
     */
    public static ClaimBatcher of(ClaimSettings settings, RandomGenerator random) {
        return new ClaimBatcher(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(random, "random"));
    }

    /** Returns the number of writes that wait or are in the commit in flight. */
    public int pending() {
        return waiting.size() + underWay.size();
    }

    @Override
    public List<ClaimAction> on(ClaimInput input, Instant now) {
        List<ClaimAction> actions = new ArrayList<>();
        if (input instanceof ClaimInput.WriteSubmitted submit) {
            submit(submit.write(), now, actions);
        } else if (input instanceof ClaimInput.CommitAnswered answered) {
            answered(answered.result(), actions);
        } else if (input instanceof ClaimInput.CommitFailed failed) {
            failed(failed.mayHaveTakenEffect(), now);
        }
        giveUpLate(now, actions);
        commitOrWait(now, actions);
        return actions;
    }

    // During an outage of the store, waiting payments would fill the router until idempotent
    // requests, which need no claim, were refused too. So pending writes are limited, and the next
    // one is given up at once.
    private void submit(ClaimWrite write, Instant now, List<ClaimAction> actions) {
        if (pending() >= settings.maxPending()) {
            actions.add(
                    new ClaimAction.CompleteWrite(
                            write.id(), new ClaimAction.Result.Abandoned(false)));
            return;
        }
        Duration gather = write.urgent() ? settings.batchDelay() : settings.backgroundBatchDelay();
        waiting.put(write.id(), new Waiting(write, now.plus(gather), false));
    }

    private void answered(TxnResult result, List<ClaimAction> actions) {
        List<Waiting> done = takeUnderWay();
        failures = 0;
        if (result.committed()) {
            for (Waiting each : done) {
                actions.add(done(each, new Result.Written(result.revision())));
            }
            return;
        }
        Map<String, Entry> found = new HashMap<>();
        result.found().forEach(entry -> found.put(entry.key(), entry));
        List<Waiting> again = new ArrayList<>();
        for (Waiting each : done) {
            Optional<Entry> there = Optional.ofNullable(found.get(each.write.key()));
            if (each.write.isAppliedIn(there)) {
                long revision = there.map(Entry::modRevision).orElse(result.revision());
                actions.add(done(each, new Result.Written(revision)));
            } else if (each.write.conflictsWith(there)) {
                actions.add(done(each, new Result.Conflict(there)));
            } else {
                again.add(each);
            }
        }
        putBack(again);
    }

    private void failed(boolean mayHaveTakenEffect, Instant now) {
        List<Waiting> again = new ArrayList<>();
        for (Waiting each : takeUnderWay()) {
            again.add(new Waiting(each.write, each.due, each.mayHave || mayHaveTakenEffect));
        }
        putBack(again);
        notBefore = now.plus(pause());
        failures++;
    }

    private Duration pause() {
        long limit = settings.initialBackoff().toMillis() << Math.min(failures, 10);
        long millis = Math.min(limit, settings.maxBackoff().toMillis());
        return Duration.ofMillis(millis / 2 + random.nextLong(millis / 2 + 1));
    }

    private void giveUpLate(Instant now, List<ClaimAction> actions) {
        waiting.values()
                .removeIf(
                        each -> {
                            boolean late = !now.isBefore(each.write.giveUpAt());
                            if (late) {
                                actions.add(
                                        done(each, new ClaimAction.Result.Abandoned(each.mayHave)));
                            }
                            return late;
                        });
    }

    private void commitOrWait(Instant now, List<ClaimAction> actions) {
        if (!underWay.isEmpty() || waiting.isEmpty()) {
            return;
        }
        Instant due = waiting.values().stream().map(Waiting::due).min(Instant::compareTo).get();
        Instant next = due.isBefore(notBefore) ? notBefore : due;
        if (now.isBefore(next)) {
            Instant end =
                    waiting.values().stream()
                            .map(each -> each.write.giveUpAt())
                            .min(Instant::compareTo)
                            .get();
            actions.add(new ClaimAction.WakeAt(end.isBefore(next) ? end : next));
            return;
        }
        underWay = nextBatch();
        underWay.forEach(each -> waiting.remove(each.write.id()));
        actions.add(new ClaimAction.Commit(underWay.stream().map(Waiting::write).toList()));
    }

    // The store rejects a transaction that changes a key twice. So the second of two writes to the
    // same key waits for the next transaction, where it finds the result of the first.
    private List<Waiting> nextBatch() {
        List<Waiting> batch = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int bytes = 0;
        for (Waiting each : waiting.values()) {
            bytes += each.write.size();
            boolean full =
                    batch.size() >= settings.maxOperations()
                            || bytes > settings.maxTransactionBytes();
            if (full && !batch.isEmpty()) {
                break;
            }
            if (keys.add(each.write.key())) {
                batch.add(each);
            }
        }
        return batch;
    }

    private List<Waiting> takeUnderWay() {
        List<Waiting> taken = underWay;
        underWay = List.of();
        return taken;
    }

    private void putBack(List<Waiting> again) {
        Map<Long, Waiting> later = new LinkedHashMap<>(waiting);
        waiting.clear();
        again.forEach(each -> waiting.put(each.write.id(), each));
        waiting.putAll(later);
    }

    private static ClaimAction done(Waiting each, Result result) {
        return new ClaimAction.CompleteWrite(each.write.id(), result);
    }

    private record Waiting(ClaimWrite write, Instant due, boolean mayHave) {}
}
