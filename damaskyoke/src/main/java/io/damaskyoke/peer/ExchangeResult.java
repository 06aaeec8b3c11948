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

/** How an invocation at an agent began, or why it did not. */
public sealed interface ExchangeResult {
    /**
     * The upstream answers.
     *
     * @param body can be run once; completes only when the whole answer has come, and fails with an
     *     {@link io.damaskyoke.exchange.ExchangeException} otherwise; cancelling it cancels the
     *     upstream
     * @param ending completes when the last frame has come, which may be before the body has been
     *     taken; fails as the body does
     */
    record Served(
            int status,
            List<Header> headers,
            Source<ByteString, NotUsed> body,
            CompletionStage<Ending> ending)
            implements ExchangeResult {}

    /** The agent's own no; {@link Refusal#notRun()} is the agent's word. */
    record Refused(Refusal refusal, Optional<Load> load) implements ExchangeResult {}

    /** The frame surely did not leave this process; another agent may be asked. */
    record NotSent(String reason) implements ExchangeResult {}

    /** The frame may have arrived and nothing more is known; the request may have run. */
    record Lost(String reason) implements ExchangeResult {}

    /**
     * What came with the end of a whole answer.
     *
     * @param totalBytes of the body
     * @param tokensUsed as the upstream reported; 0 where it reports none
     * @param load of the agent at that time
     */
    record Ending(long totalBytes, long tokensUsed, Load load) {}
}
