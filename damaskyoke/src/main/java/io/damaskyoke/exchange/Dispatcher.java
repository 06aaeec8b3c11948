package io.damaskyoke.exchange;

import java.util.concurrent.CompletionStage;

/**
 * Where the caller side hands a request to. The stage always completes, never exceptionally, and
 * with exactly one answer.
 */
@FunctionalInterface
public interface Dispatcher {
    /** Serves the request, or refuses it, before its deadline. */
    CompletionStage<Answer> dispatch(Request request);
}
