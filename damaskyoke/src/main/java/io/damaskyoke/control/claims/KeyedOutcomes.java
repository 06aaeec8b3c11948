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
 * What became of the last requests with an idempotency key at this agent. When a router dies with
 * an answer in its hands, its successor learns the outcome here. Not thread-safe.
 */
public final class KeyedOutcomes {
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final VmId vm;
    private final int capacity;
    private final Map<Key, ClaimRecord> records = new LinkedHashMap<>();

    /** A memory of so many keys at the agent of this VM. */
    public KeyedOutcomes(VmId vm, int capacity) {
        this.vm = vm;
        this.capacity = capacity;
    }

    /** True if the request's outcome is to be remembered. */
    public static boolean keyed(Request request) {
        return request.claimable();
    }

    /**
     * Takes note that a request came; a refusal if another one with its key is here or was. Routers
     * send none such as long as the store keeps its word, so this is the second line.
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

    /** The request was answered. */
    public void settled(Request request, ClaimRecord.Outcome outcome) {
        change(request, record(request).settled(outcome));
    }

    /** The request surely did not run and will not, or may have run. */
    public void ended(Request request, boolean notRun) {
        change(request, record(request).in(notRun ? ClaimState.NOT_RUN : ClaimState.UNKNOWN));
    }

    /** What is known of a key. */
    public Optional<ClaimRecord> find(WorkspaceId workspace, IdempotencyKey key) {
        return Optional.ofNullable(records.get(new Key(workspace, key)));
    }

    private void change(Request request, ClaimRecord now) {
        Key key = key(request);
        ClaimRecord there = records.get(key);
        if (there != null && there.exchange().equals(request.id())) {
            put(key, now);
        }
    }

    private ClaimRecord record(Request request) {
        return ClaimRecord.claimed(request.id(), vm, "", request.deadline());
    }

    // The oldest record goes first, except that one whose request still runs stays: forgotten, a
    // repeat would be told "outcome unknown" of a payment that is about to be answered.
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
                                RefusalCode.IN_PROGRESS, "a request with this key is under way")
                        .retryAfter(COME_BACK)
                : Refusal.mayHaveRun(
                        RefusalCode.OUTCOME_UNKNOWN, "a request with this key has been here");
    }

    private static Key key(Request request) {
        return new Key(request.workspace(), request.idempotencyKey().orElseThrow());
    }

    private record Key(WorkspaceId workspace, IdempotencyKey key) {}
}
