package io.damaskyoke.http;

/** Takes in the requests of a server, on its event loop. */
@FunctionalInterface
public interface HttpHandler {
    /** Answers the call, now or later; every call must be answered or aborted once. */
    void handle(HttpCall call);
}
