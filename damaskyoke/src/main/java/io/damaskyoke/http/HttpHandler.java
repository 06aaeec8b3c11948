package io.damaskyoke.http;

/** Handles the requests of an {@link HttpServer}, on its event loop. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles a call, which must be answered or aborted exactly once, now or later. */
    void handle(HttpCall call);
}
