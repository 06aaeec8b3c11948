package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Instant;

/**
 * A load order that was not answered and may still be carried out.
 *
 * @param incarnation start of the upstream incarnation that the order was sent to, in Unix
 *     milliseconds
 * @param sequence number of accepted orders at which the upstream carries it out
 * @param sentAt when it was sent
 */
public record UnansweredLoadOrder(
        UpstreamId upstream, long incarnation, long sequence, ModelRef model, Instant sentAt) {}
