package io.damaskyoke.upstream;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Request;
import java.util.concurrent.CompletableFuture;

/** The model engine or plain service beside this agent, to send requests to. */
public interface Upstream {
    /**
     * Sends the request once and gives the answer's beginning. Completes exceptionally with an
     * {@link UpstreamException} that says whether the upstream may have begun the request.
     * Cancelling the answer's body closes the upstream's connection, which cancels the work there.
     */
    CompletableFuture<Answer.Served> send(Request request);
}
