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
    private final Map<Long, PendingWrite> waiting = new LinkedHashMap<>();
    private List<PendingWrite> inFlight = List.of();
    private Instant retryAt = Instant.MIN;
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
        return waiting.size() + inFlight.size();
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
        abandonExpired(now, actions);
        commitOrScheduleWake(now, actions);
        return actions;
    }

    // During an outage of the store, waiting payments would fill the router until idempotent
    // requests, which need no claim, were refused too. So pending writes are limited, and the next
    // one is given up at once.
    private void submit(ClaimWrite write, Instant now, List<ClaimAction> actions) {
        if (pending() >= settings.maxPending()) {
            actions.add(new ClaimAction.CompleteWrite(write.id(), new Result.Abandoned(false)));
            return;
        }
        Duration delay = write.urgent() ? settings.batchDelay() : settings.backgroundBatchDelay();
        waiting.put(write.id(), new PendingWrite(write, now.plus(delay), false));
    }

    private void answered(TxnResult result, List<ClaimAction> actions) {
        List<PendingWrite> writes = takeInFlight();
        failures = 0;
        if (result.committed()) {
            for (PendingWrite each : writes) {
                actions.add(complete(each, new Result.Written(result.revision())));
            }
            return;
        }
        Map<String, Entry> found = new HashMap<>();
        result.found().forEach(entry -> found.put(entry.key(), entry));
        List<PendingWrite> retried = new ArrayList<>();
        for (PendingWrite each : writes) {
            Optional<Entry> current = Optional.ofNullable(found.get(each.write.key()));
            if (each.write.isAppliedIn(current)) {
                long revision = current.map(Entry::modRevision).orElse(result.revision());
                actions.add(complete(each, new Result.Written(revision)));
            } else if (each.write.conflictsWith(current)) {
                actions.add(complete(each, new Result.Conflict(current)));
            } else {
                retried.add(each);
            }
        }
        requeue(retried);
    }

    private void failed(boolean mayHaveTakenEffect, Instant now) {
        List<PendingWrite> retried = new ArrayList<>();
        for (PendingWrite each : takeInFlight()) {
            retried.add(
                    new PendingWrite(
                            each.write, each.dueAt, each.mayHaveTakenEffect || mayHaveTakenEffect));
        }
        requeue(retried);
        retryAt = now.plus(backoff());
        failures++;
    }

    private Duration backoff() {
        long limit = settings.initialBackoff().toMillis() << Math.min(failures, 10);
        long millis = Math.min(limit, settings.maxBackoff().toMillis());
        return Duration.ofMillis(millis / 2 + random.nextLong(millis / 2 + 1));
    }

    private void abandonExpired(Instant now, List<ClaimAction> actions) {
        waiting.values()
                .removeIf(
                        each -> {
                            boolean expired = !now.isBefore(each.write.giveUpAt());
                            if (expired) {
                                actions.add(
                                        complete(
                                                each,
                                                new Result.Abandoned(each.mayHaveTakenEffect)));
                            }
                            return expired;
                        });
    }

    private void commitOrScheduleWake(Instant now, List<ClaimAction> actions) {
        if (!inFlight.isEmpty() || waiting.isEmpty()) {
            return;
        }
        Instant dueAt =
                waiting.values().stream().map(PendingWrite::dueAt).min(Instant::compareTo).get();
        Instant next = dueAt.isBefore(retryAt) ? retryAt : dueAt;
        if (now.isBefore(next)) {
            Instant giveUpAt =
                    waiting.values().stream()
                            .map(each -> each.write.giveUpAt())
                            .min(Instant::compareTo)
                            .get();
            actions.add(new ClaimAction.WakeAt(giveUpAt.isBefore(next) ? giveUpAt : next));
            return;
        }
        inFlight = nextBatch();
        inFlight.forEach(each -> waiting.remove(each.write.id()));
        actions.add(new ClaimAction.Commit(inFlight.stream().map(PendingWrite::write).toList()));
    }

    // The store rejects a transaction that changes a key twice. So the second of two writes to the
    // same key waits for the next transaction, where it finds the result of the first.
    private List<PendingWrite> nextBatch() {
        List<PendingWrite> batch = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int bytes = 0;
        for (PendingWrite each : waiting.values()) {
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

    private List<PendingWrite> takeInFlight() {
        List<PendingWrite> taken = inFlight;
        inFlight = List.of();
        return taken;
    }

    private void requeue(List<PendingWrite> retried) {
        Map<Long, PendingWrite> later = new LinkedHashMap<>(waiting);
        waiting.clear();
        retried.forEach(each -> waiting.put(each.write.id(), each));
        waiting.putAll(later);
    }

    private static ClaimAction complete(PendingWrite each, Result result) {
        return new ClaimAction.CompleteWrite(each.write.id(), result);
    }

    private record PendingWrite(ClaimWrite write, Instant dueAt, boolean mayHaveTakenEffect) {}
}
