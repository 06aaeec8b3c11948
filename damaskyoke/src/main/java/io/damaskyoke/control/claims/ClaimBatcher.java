package io.damaskyoke.control.claims;

import io.damaskyoke.control.Machine;
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
 * Gathers changes of claims for a few milliseconds and commits them in one transaction, one
 * transaction at a time: {@code batcher.on(new ClaimInput.Submit(write), now)}.
 *
 * <p>The platform's service counts calls, not keys; so what comes while a commit is under way
 * shares the next one. If some of them are blocked, those are told so and the rest goes again.
 *
 * <p>After a lost answer the same transaction is sent again. Every claim holds the id of its
 * request, so a change that finds its own value in the store knows that it took effect the first
 * time; nothing else can have written that value.
 */
public final class ClaimBatcher implements Machine<ClaimInput, ClaimAction> {
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

    /** A batcher with nothing to do; the random source spreads retries. */
    public static ClaimBatcher of(ClaimSettings settings, RandomGenerator random) {
        return new ClaimBatcher(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(random, "random"));
    }

    /** How many changes wait or are under way. */
    public int pending() {
        return waiting.size() + underWay.size();
    }

    @Override
    public List<ClaimAction> on(ClaimInput input, Instant now) {
        List<ClaimAction> actions = new ArrayList<>();
        if (input instanceof ClaimInput.Submit submit) {
            submit(submit.write(), now, actions);
        } else if (input instanceof ClaimInput.Answered answered) {
            answered(answered.result(), actions);
        } else if (input instanceof ClaimInput.Failed failed) {
            failed(failed.mayHaveTakenEffect(), now);
        }
        giveUpLate(now, actions);
        commitOrWait(now, actions);
        return actions;
    }

    // An outage would fill the router with payments that wait, until lookups, which need no claim,
    // find no place; so only so many may wait, and the next is refused at once.
    private void submit(ClaimWrite write, Instant now, List<ClaimAction> actions) {
        if (pending() >= settings.maxPending()) {
            actions.add(new ClaimAction.Done(write.id(), new Result.GaveUp(false)));
            return;
        }
        Duration gather = write.urgent() ? settings.gather() : settings.lazyGather();
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
            if (each.write.madeBy(there)) {
                long revision = there.map(Entry::modRevision).orElse(result.revision());
                actions.add(done(each, new Result.Written(revision)));
            } else if (each.write.blockedBy(there)) {
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
        long limit = settings.retryFirst().toMillis() << Math.min(failures, 10);
        long millis = Math.min(limit, settings.retryMost().toMillis());
        return Duration.ofMillis(millis / 2 + random.nextLong(millis / 2 + 1));
    }

    private void giveUpLate(Instant now, List<ClaimAction> actions) {
        waiting.values()
                .removeIf(
                        each -> {
                            boolean late = !now.isBefore(each.write.giveUp());
                            if (late) {
                                actions.add(done(each, new Result.GaveUp(each.mayHave)));
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
                            .map(each -> each.write.giveUp())
                            .min(Instant::compareTo)
                            .get();
            actions.add(new ClaimAction.WakeAt(end.isBefore(next) ? end : next));
            return;
        }
        underWay = nextBatch();
        underWay.forEach(each -> waiting.remove(each.write.id()));
        actions.add(new ClaimAction.Commit(underWay.stream().map(Waiting::write).toList()));
    }

    // A transaction must not change a key twice, or the store refuses the whole of it; so the
    // second of two repeats that come together waits for the next one, where it finds the first.
    private List<Waiting> nextBatch() {
        List<Waiting> batch = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int bytes = 0;
        for (Waiting each : waiting.values()) {
            bytes += each.write.size();
            boolean full = batch.size() >= settings.maxOperations() || bytes > settings.maxBytes();
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
        return new ClaimAction.Done(each.write.id(), result);
    }

    private record Waiting(ClaimWrite write, Instant due, boolean mayHave) {}
}
