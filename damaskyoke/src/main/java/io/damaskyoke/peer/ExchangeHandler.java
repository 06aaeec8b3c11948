package io.damaskyoke.peer;

/** Handles the requests that peers send to this agent. */
@FunctionalInterface
public interface ExchangeHandler {
    /**
     * Handles one request. Runs on a network thread and must not block; it answers the exchange
     * exactly once, now or later.
     */
    void handle(IncomingExchange exchange);
}
