package io.damaskyoke.exchange;

import java.util.concurrent.CompletionStage;

/**
 * Serves the requests that the caller side has accepted. The returned stage always completes, never
 * exceptionally, and with exactly one answer.
 */
@FunctionalInterface
public interface Dispatcher {
    /**
     * Serves the request, or refuses it, before its deadline. If {@code cancel} is cancelled first,
     * the answer is no longer needed: a request that has not begun should not begin, and the stage
     * still completes. The caller side cancels the body of an answer that comes after that.
     */
    CompletionStage<Answer> dispatch(Request request, CancelSignal cancel);
}
