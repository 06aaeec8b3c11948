package io.damaskyoke.caller;

import io.damaskyoke.DamaskyokeException;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;

/** Says that a request can't be taken; carries the refusal that its caller gets. */
final class CallerException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    CallerException(Refusal refusal, Throwable cause) {
        super(refusal.code(), refusal.message(), cause);
        this.refusal = refusal;
    }

    static CallerException of(RefusalCode code, String message) {
        return new CallerException(Refusal.notRun(code, message), null);
    }

    Refusal refusal() {
        return refusal;
    }
}
