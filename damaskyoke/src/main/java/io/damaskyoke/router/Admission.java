package io.damaskyoke.router;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.Request;
import java.time.Instant;
import java.util.Optional;

/** Whether a request may come in, and what it used in the end; asked on the control thread. */
public interface Admission {
    /** The refusal, or empty if the request may come in; its estimate is then charged. */
    Optional<Refusal> admit(Request request, Instant now);

    /** The request is over and used this many tokens; 0 if it surely did not run. */
    void settle(Request request, long tokensUsed, Instant now);

    /** Lets every request in. */
    static Admission open() {
        return new Admission() {
            @Override
            public Optional<Refusal> admit(Request request, Instant now) {
                return Optional.empty();
            }

            @Override
            public void settle(Request request, long tokensUsed, Instant now) {}
        };
    }
}
