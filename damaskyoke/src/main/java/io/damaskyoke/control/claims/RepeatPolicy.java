package io.damaskyoke.control.claims;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What a request gets whose key is claimed already, from what the store holds and what the agent
 * named there says of it.
 *
 * <p>{@code not_run} is about the request that the key names, not about this repeat of it: a caller
 * who reads "not run" may pay another way, and must not when the first try may have run.
 */
public final class RepeatPolicy {
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private RepeatPolicy() {}

    /** What to do with a repeat. */
    public sealed interface Verdict {
        /** Give the recorded answer. */
        record Replay(ClaimRecord settled) implements Verdict {}

        /** Refuse. */
        record Refuse(Refusal refusal) implements Verdict {}

        /** The claim's request surely never runs: replace the claim by one's own, and run. */
        record TakeOver() implements Verdict {}

        /** Ask the claim's agent first. */
        record AskAgent() implements Verdict {}
    }

    /** The verdict from the store alone. */
    public static Verdict fromStore(ClaimRecord found, String digest) {
        if (!found.digest().equals(digest)) {
            return refuse(
                    Refusal.notRun(
                            RefusalCode.KEY_REUSED,
                            "this Idempotency-Key came before with another request"));
        }
        return switch (found.state()) {
            case SETTLED -> replay(found);
            case UNKNOWN -> unknown();
            case NOT_RUN -> new Verdict.TakeOver();
            case CLAIMED -> new Verdict.AskAgent();
        };
    }

    /**
     * The verdict once the agent was asked.
     *
     * @param agent the agent's word; empty if it knows nothing of the key or can't be reached
     */
    public static Verdict fromAgent(ClaimRecord found, Optional<ClaimRecord> agent, Instant now) {
        Optional<ClaimRecord> same = agent.filter(told -> told.exchange().equals(found.exchange()));
        if (same.isPresent()) {
            return switch (same.get().state()) {
                case SETTLED -> replay(found.settled(same.get().outcome().orElseThrow()));
                case UNKNOWN -> unknown();
                case NOT_RUN -> new Verdict.TakeOver();
                case CLAIMED -> inProgress();
            };
        }
        return now.isBefore(found.until()) ? inProgress() : unknown();
    }

    private static Verdict replay(ClaimRecord settled) {
        if (settled.outcome().orElseThrow().body().isPresent()) {
            return new Verdict.Replay(settled);
        }
        return refuse(
                Refusal.mayHaveRun(
                        RefusalCode.ANSWER_NOT_KEPT,
                        "it ran once and was answered with status "
                                + settled.outcome().get().status()
                                + "; the body was not kept"));
    }

    private static Verdict unknown() {
        return refuse(
                Refusal.mayHaveRun(
                        RefusalCode.OUTCOME_UNKNOWN,
                        "a request with this key may have run; it will not be run again"));
    }

    private static Verdict inProgress() {
        return refuse(
                Refusal.mayHaveRun(RefusalCode.IN_PROGRESS, "a request with this key is under way")
                        .retryAfter(COME_BACK));
    }

    private static Verdict refuse(Refusal refusal) {
        return new Verdict.Refuse(refusal);
    }
}
