package io.damaskyoke.rates;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.Request;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;

/** Whether a request may come in, and what it used in the end; asked on the control thread. */
public interface Admission {
    /**
     * Gives the refusal, or empty if the request may come in; its estimate is then charged. The
     * verdict comes once, on the control thread, at once or within a fraction of a second.
     */
    void admit(Request request, Instant now, Consumer<Optional<Refusal>> verdict);

    /** The request is over and used this many tokens; 0 if it surely did not run. */
    void settle(Request request, long tokensUsed, Instant now);
}
