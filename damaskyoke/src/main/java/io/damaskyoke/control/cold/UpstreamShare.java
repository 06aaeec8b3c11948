package io.damaskyoke.control.cold;

import io.damaskyoke.control.upstreams.UpstreamId;

/**
 * This router's part of what an upstream bears from all: {@code share.of(upstream, 48.5)}.
 *
 * <p>No router sees what the others send, and asking them would take longer than an upstream is
 * cold. So the parts must add up by themselves, also while some routers are cut off.
 */
@FunctionalInterface
public interface UpstreamShare {
    /** How many requests this router may send there in some time, of so many by all together. */
    int of(UpstreamId upstream, double all);
}
