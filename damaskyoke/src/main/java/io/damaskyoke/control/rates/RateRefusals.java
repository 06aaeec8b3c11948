package io.damaskyoke.control.rates;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import java.time.Duration;

/** What callers are told whose requests the rate doesn't let in; none of them has run. */
final class RateRefusals {
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private RateRefusals() {}

    static RateAction unconfirmed(ExchangeId id) {
        Refusal refusal =
                Refusal.notRun(
                                RefusalCode.STORE_UNAVAILABLE,
                                "this router can't confirm its share of the rate")
                        .retryAfter(COME_BACK);
        return new RateAction.Refuse(id, refusal);
    }

    static RateAction notConfigured(ExchangeId id) {
        return exceeded(id, "the workspace is not configured here", COME_BACK);
    }

    static RateAction tooMany(ExchangeId id) {
        return exceeded(id, "too many requests wait for the rate", COME_BACK);
    }

    static RateAction usedUp(ExchangeId id, Duration wait) {
        return exceeded(id, "the workspace has used up its rate and burst", wait);
    }

    /** Coming back can't help here, so no time is given for it. */
    static RateAction tooLarge(ExchangeId id) {
        return new RateAction.Refuse(
                id,
                Refusal.notRun(
                        RefusalCode.RATE_EXCEEDED,
                        "the request needs more tokens than the workspace's whole burst"));
    }

    private static RateAction exceeded(ExchangeId id, String message, Duration wait) {
        return new RateAction.Refuse(
                id, Refusal.notRun(RefusalCode.RATE_EXCEEDED, message).retryAfter(wait));
    }
}
