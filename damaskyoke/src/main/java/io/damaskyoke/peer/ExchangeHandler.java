package io.damaskyoke.peer;

/** Takes the requests that come over the links. */
@FunctionalInterface
public interface ExchangeHandler {
    /** Must not block: it runs on a traffic thread. Answers now or later, and exactly once. */
    void handle(IncomingExchange exchange);
}
