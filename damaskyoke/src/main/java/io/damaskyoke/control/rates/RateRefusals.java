package io.damaskyoke.control.rates;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import java.time.Duration;

/** Builds the refusals of requests that the rate does not admit. None of these requests has run. */
final class RateRefusals {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private RateRefusals() {}

    static RateAction unconfirmed(ExchangeId id) {
        Refusal refusal =
                Refusal.notRun(
                                RefusalCode.STORE_UNAVAILABLE,
                                "this router can't confirm its share of the rate")
                        .retryAfter(RETRY_AFTER);
        return new RateAction.RefuseRequest(id, refusal);
    }

    static RateAction notConfigured(ExchangeId id) {
        return exceeded(id, "the workspace is not configured here", RETRY_AFTER);
    }

    static RateAction queueFull(ExchangeId id) {
        return exceeded(id, "the queue for the workspace's rate is full", RETRY_AFTER);
    }

    static RateAction rateExceeded(ExchangeId id, Duration retryAfter) {
        return exceeded(id, "the workspace has used up its rate and burst", retryAfter);
    }

    /**
     * Refuses a request that can never be admitted. A retry cannot help, so there is no retry time.
     */
    static RateAction exceedsBurst(ExchangeId id) {
        return new RateAction.RefuseRequest(
                id,
                Refusal.notRun(
                        RefusalCode.RATE_EXCEEDED,
                        "the request needs more tokens than the workspace's whole burst"));
    }

    private static RateAction exceeded(ExchangeId id, String message, Duration retryAfter) {
        return new RateAction.RefuseRequest(
                id, Refusal.notRun(RefusalCode.RATE_EXCEEDED, message).retryAfter(retryAfter));
    }
}
