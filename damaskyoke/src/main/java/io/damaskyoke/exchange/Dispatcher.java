package io.damaskyoke.exchange;

import java.util.concurrent.CompletionStage;

/**
 * Where the caller side hands a request to. The stage always completes, never exceptionally, and
 * with exactly one answer.
 */
@FunctionalInterface
public interface Dispatcher {
    /**
     * Serves the request, or refuses it, before its deadline. If {@code cancel} is cancelled first,
     * nobody waits for the answer any more: what has not begun should not begin, and the stage
     * still completes. A body that comes with an answer after that is cancelled by the caller side.
     */
    CompletionStage<Answer> dispatch(Request request, CancelSignal cancel);
}
