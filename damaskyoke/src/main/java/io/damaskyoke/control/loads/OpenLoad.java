package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Instant;

/**
 * An order to load that has no answer, and may be carried out yet.
 *
 * @param life of the upstream that it was meant for, by its start in Unix milliseconds
 * @param sequence the count of accepted orders at which it is carried out
 * @param at when it was sent
 */
public record OpenLoad(UpstreamId upstream, long life, long sequence, ModelRef model, Instant at) {}
