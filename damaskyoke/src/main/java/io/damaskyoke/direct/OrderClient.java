package io.damaskyoke.direct;

import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.Upstream;
import java.util.Optional;
import java.util.function.Consumer;

/** Calls upstreams for the leader: {@code client.sendOrder(upstream, order, outcome -> ...)}. */
interface OrderClient {
    /**
     * Sends an order, unless the upstream has asked for a pause. {@code then} runs once, with
     * {@code UNKNOWN} if no answer arrives before the timeout.
     */
    void sendOrder(Upstream to, Dialect.Order order, Consumer<OrderOutcome> then);

    /**
     * Requests a report; it is empty if the upstream has asked for a pause, or if none arrives in
     * time or it can't be parsed.
     */
    void requestReport(Upstream from, Consumer<Optional<LoadInput.UpstreamReported>> then);
}
