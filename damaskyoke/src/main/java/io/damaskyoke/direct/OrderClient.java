package io.damaskyoke.direct;

import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import java.util.Optional;
import java.util.function.Consumer;

/** Calls upstreams for the leader: {@code client.sendOrder(upstream, order, outcome -> ...)}. */
interface OrderClient {
    /**
     * Sends an order. {@code then} runs once, with {@code UNKNOWN} if no answer arrives before the
     * timeout.
     */
    void sendOrder(UpstreamFacts to, Dialect.Order order, Consumer<OrderOutcome> then);

    /** Requests a report; it is empty if none arrives in time or it can't be parsed. */
    void requestReport(UpstreamFacts from, Consumer<Optional<LoadInput.UpstreamReported>> then);
}
