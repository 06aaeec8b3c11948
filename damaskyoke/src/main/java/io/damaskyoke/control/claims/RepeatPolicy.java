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
 * <p>{@code not_run} refers to the operation that the key identifies, not only to this repeat: a
 * caller who reads "not run" may pay another way, and must not do so if the first attempt may have
 * run.
 */
public final class RepeatPolicy {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private RepeatPolicy() {}

    /** How a repeat is handled. */
    public sealed interface Decision {
        /** Return the recorded answer. */
        record Replay(ClaimRecord settled) implements Decision {}

        /** Refuse the repeat. */
        record Refuse(Refusal refusal) implements Decision {}

        /** Replace the claim and run the repeat, since the claim's request never runs. */
        record TakeOver() implements Decision {}

        /** Query the agent named in the claim, then decide from its report. */
        record AskAgent() implements Decision {}
    }

    /** Decides from the claim in the store. */
    public static Decision decideFromStore(ClaimRecord found, String digest) {
        if (!found.digest().equals(digest)) {
            return refuse(
                    Refusal.notRun(
                            RefusalCode.KEY_REUSED,
                            "this Idempotency-Key was used before with a different request"));
        }
        return switch (found.state()) {
            case SETTLED -> replay(found);
            case UNKNOWN -> unknown();
            case NOT_RUN -> new Decision.TakeOver();
            case CLAIMED -> new Decision.AskAgent();
        };
    }

    /**
     * Decides after the agent was queried.
     *
     * @param agent the agent's report; empty if it has no record of the key or can't be reached
     */
    public static Decision decideFromAgent(
            ClaimRecord found, Optional<ClaimRecord> agent, Instant now) {
        Optional<ClaimRecord> report =
                agent.filter(record -> record.exchange().equals(found.exchange()));
        if (report.isPresent()) {
            return switch (report.get().state()) {
                case SETTLED -> replay(found.settled(report.get().outcome().orElseThrow()));
                case UNKNOWN -> unknown();
                case NOT_RUN -> new Decision.TakeOver();
                case CLAIMED -> inProgress();
            };
        }
        return now.isBefore(found.until()) ? inProgress() : unknown();
    }

    private static Decision replay(ClaimRecord settled) {
        if (settled.outcome().orElseThrow().body().isPresent()) {
            return new Decision.Replay(settled);
        }
        return refuse(
                Refusal.mayHaveRun(
                        RefusalCode.ANSWER_NOT_KEPT,
                        "the request ran once and was answered with status "
                                + settled.outcome().get().status()
                                + "; the body was not kept"));
    }

    private static Decision unknown() {
        return refuse(
                Refusal.mayHaveRun(
                        RefusalCode.OUTCOME_UNKNOWN,
                        "a request with this Idempotency-Key may have run; it is not run again"));
    }

    private static Decision inProgress() {
        return refuse(
                Refusal.mayHaveRun(
                                RefusalCode.IN_PROGRESS,
                                "a request with this Idempotency-Key is still running")
                        .retryAfter(RETRY_AFTER));
    }

    private static Decision refuse(Refusal refusal) {
        return new Decision.Refuse(refusal);
    }
}
