package io.damaskyoke.control.claims;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides how to handle a request whose idempotency key is already claimed, from the claim in the
 * store and the report of the agent named in it.
 *
 * <p>{@code not_run} refers to all requests with the key, not only to this repeat: a caller who
 * reads "not run" may pay another way, and must not do so if the first attempt may have run.
 */
public final class RepeatPolicy {
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private RepeatPolicy() {}

    /** How a repeat is handled. */
    public sealed interface Decision {
        /** Return the recorded answer. */
        record Replay(ClaimRecord settled) implements RepeatPolicy.Decision {}

        /** Refuse the repeat. */
        record Refuse(Refusal refusal) implements RepeatPolicy.Decision {}

        /** Replace the claim and run the repeat, since the claim's request never runs. */
        record TakeOver() implements RepeatPolicy.Decision {}

        /** Query the agent named in the claim, then decide from its report. */
        record AskAgent() implements RepeatPolicy.Decision {}
    }

    /** Decides from the claim in the store. */
    public static RepeatPolicy.Decision decideFromStore(ClaimRecord found, String digest) {
        if (!found.digest().equals(digest)) {
            return refuse(
                    Refusal.notRun(
                            RefusalCode.KEY_REUSED,
                            "this Idempotency-Key was used before with a different request"));
        }
        return switch (found.state()) {
            case SETTLED -> replay(found);
            case UNKNOWN -> unknown();
            case NOT_RUN -> new RepeatPolicy.Decision.TakeOver();
            case CLAIMED -> new RepeatPolicy.Decision.AskAgent();
        };
    }

    /**
     * Decides after the agent was queried.
     *
     * @param agent the agent's report; empty if it has no record of the key or can't be reached
     */
    public static RepeatPolicy.Decision decideFromAgent(
            ClaimRecord found, Optional<ClaimRecord> agent, Instant now) {
        Optional<ClaimRecord> same = agent.filter(told -> told.exchange().equals(found.exchange()));
        if (same.isPresent()) {
            return switch (same.get().state()) {
                case SETTLED -> replay(found.settled(same.get().outcome().orElseThrow()));
                case UNKNOWN -> unknown();
                case NOT_RUN -> new RepeatPolicy.Decision.TakeOver();
                case CLAIMED -> inProgress();
            };
        }
        return now.isBefore(found.until()) ? inProgress() : unknown();
    }

    private static RepeatPolicy.Decision replay(ClaimRecord settled) {
        if (settled.outcome().orElseThrow().body().isPresent()) {
            return new RepeatPolicy.Decision.Replay(settled);
        }
        return refuse(
                Refusal.mayHaveRun(
                        RefusalCode.ANSWER_NOT_KEPT,
                        "the request ran once and was answered with status "
                                + settled.outcome().get().status()
                                + "; the body was not kept"));
    }

    private static RepeatPolicy.Decision unknown() {
        return refuse(
                Refusal.mayHaveRun(
                        RefusalCode.OUTCOME_UNKNOWN,
                        "a request with this Idempotency-Key may have run; it is not run again"));
    }

    private static RepeatPolicy.Decision inProgress() {
        return refuse(
                Refusal.mayHaveRun(
                                RefusalCode.IN_PROGRESS,
                                "a request with this Idempotency-Key is still running")
                        .retryAfter(COME_BACK));
    }

    private static RepeatPolicy.Decision refuse(Refusal refusal) {
        return new RepeatPolicy.Decision.Refuse(refusal);
    }
}
