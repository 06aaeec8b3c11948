package io.damaskyoke.peer;

import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.peer.wire.Load;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** The outcome of sending a request to an agent: an answer that has begun, or why there is none. */
public sealed interface ExchangeResult {
    /**
     * The upstream's answer has begun.
     *
     * @param body can be run only once; completes only when the whole answer was received, and
     *     fails with an {@link io.damaskyoke.exchange.ExchangeException} otherwise; cancelling it
     *     cancels the upstream
     * @param ending completes when the last frame was received, which may be before the body has
     *     been consumed; fails as the body does
     */
    record Served(
            int status,
            List<Header> headers,
            Source<ByteString, NotUsed> body,
            CompletionStage<Ending> ending)
            implements ExchangeResult {}

    /** The agent refused the request; {@link Refusal#notRun()} is the agent's own statement. */
    record Refused(Refusal refusal, Optional<Load> load) implements ExchangeResult {}

    /** The frame certainly did not leave this process; the request may be sent to another agent. */
    record NotSent(String reason) implements ExchangeResult {}

    /** The frame may have arrived but no answer is known; the request may have run. */
    record Lost(String reason) implements ExchangeResult {}

    /**
     * The figures that the last frame of a complete answer carries.
     *
     * @param totalBytes the length of the body in bytes
     * @param tokensUsed the tokens that the upstream reported; 0 if it reported none
     * @param load the agent's load at that time
     */
    record Ending(long totalBytes, long tokensUsed, Load load) {}
}
