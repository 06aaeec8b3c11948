package io.damaskyoke.peer;

import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.peer.wire.Load;
import io.damaskyoke.peer.wire.Refused;
import java.time.Duration;
import java.util.Optional;

/** Converts refusals to frames and back. */
final class RefusalCodec {
    private RefusalCodec() {}

    static Refused toWire(Refusal refusal, Load load) {
        return Refused.newBuilder()
                .setCode(refusal.code().name())
                .setMessage(refusal.message())
                .setNotRun(refusal.notRun())
                .setRetryAfterMs(
                        refusal.retryAfter().map(RefusalCodec::atLeastOneMillisecond).orElse(0L))
                .setLoad(load)
                .build();
    }

    static Refusal fromWire(Refused refused) {
        return new Refusal(
                code(refused.getCode()),
                refused.getMessage(),
                refused.getNotRun(),
                Optional.of(refused.getRetryAfterMs())
                        .filter(millis -> millis > 0)
                        .map(Duration::ofMillis));
    }

    static Optional<Load> load(Refused refused) {
        return refused.hasLoad() ? Optional.of(refused.getLoad()) : Optional.empty();
    }

    /** Converts a refusal in the middle of an answer to the failure of its body. */
    static ExchangeException toException(Refused refused) {
        return new ExchangeException(exceptionCode(code(refused.getCode())), refused.getMessage());
    }

    private static long atLeastOneMillisecond(Duration wait) {
        return Math.max(1, wait.toMillis());
    }

    private static RefusalCode code(String name) {
        try {
            return RefusalCode.valueOf(name);
        } catch (IllegalArgumentException e) {
            return RefusalCode.UPSTREAM_FAILED;
        }
    }

    private static ExchangeException.Code exceptionCode(RefusalCode code) {
        return switch (code) {
            case DEADLINE_EXCEEDED -> ExchangeException.Code.DEADLINE_EXCEEDED;
            case KEY_WITHDRAWN, STOPPING -> ExchangeException.Code.REVOKED;
            default -> ExchangeException.Code.UPSTREAM_CUT;
        };
    }
}
