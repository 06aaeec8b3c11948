package io.damaskyoke.control.claims;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The outcomes of the most recent requests with an idempotency key at this agent. If a router
 * crashes before it records an answer, another router gets the outcome from here. Not thread-safe.
 */
public final class KeyedOutcomes {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final VmId vm;
    private final int capacity;
    private final Map<Key, ClaimRecord> records = new LinkedHashMap<>();

    /** Creates an empty cache of at most this many keys for the agent on this VM. */
    public KeyedOutcomes(VmId vm, int capacity) {
        this.vm = vm;
        this.capacity = capacity;
    }

    /** Returns true if the outcome of the request is kept here. */
    public static boolean isTracked(Request request) {
        return request.claimable();
    }

    /**
     * Records that a request arrived. Returns a refusal if another request with its key runs or ran
     * at this agent. Routers don't send such a request as long as the store is consistent, so this
     * is a second safeguard.
     */
    public Optional<Refusal> begin(Request request) {
        Key key = key(request);
        ClaimRecord before = records.get(key);
        if (before != null && before.state() != ClaimState.NOT_RUN) {
            return Optional.of(refusal(before));
        }
        put(key, ClaimRecord.claimed(request.id(), vm, "", request.deadline()));
        return Optional.empty();
    }

    /** Records the answer of the request. */
    public void recordAnswer(Request request, ClaimRecord.Outcome outcome) {
        replace(request, newRecord(request).settled(outcome));
    }

    /**
     * Records that the request ended without an answer.
     *
     * @param notRun true if it did not run and never will; false if it may have run
     */
    public void recordEnd(Request request, boolean notRun) {
        replace(
                request,
                newRecord(request).withState(notRun ? ClaimState.NOT_RUN : ClaimState.UNKNOWN));
    }

    /** Returns what is known of a key, or empty if no request with it is remembered. */
    public Optional<ClaimRecord> find(WorkspaceId workspace, IdempotencyKey key) {
        return Optional.ofNullable(records.get(new Key(workspace, key)));
    }

    private void replace(Request request, ClaimRecord updated) {
        Key key = key(request);
        ClaimRecord current = records.get(key);
        if (current != null && current.exchange().equals(request.id())) {
            put(key, updated);
        }
    }

    private ClaimRecord newRecord(Request request) {
        return ClaimRecord.claimed(request.id(), vm, "", request.deadline());
    }

    // Evicts the oldest record whose request no longer runs. If a running request were evicted, a
    // repeat would be refused as "outcome unknown" for a payment that is about to be answered.
    private void put(Key key, ClaimRecord record) {
        records.remove(key);
        records.put(key, record);
        if (records.size() > capacity) {
            records.entrySet().stream()
                    .filter(entry -> entry.getValue().state() != ClaimState.CLAIMED)
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .ifPresent(records::remove);
        }
    }

    private static Refusal refusal(ClaimRecord before) {
        return before.state() == ClaimState.CLAIMED
                ? Refusal.mayHaveRun(
                                RefusalCode.IN_PROGRESS,
                                "a request with this Idempotency-Key is still running")
                        .retryAfter(RETRY_AFTER)
                : Refusal.mayHaveRun(
                        RefusalCode.OUTCOME_UNKNOWN,
                        "a request with this Idempotency-Key reached this agent before");
    }

    private static Key key(Request request) {
        return new Key(request.workspace(), request.idempotencyKey().orElseThrow());
    }

    private record Key(WorkspaceId workspace, IdempotencyKey key) {}
}
