package io.damaskyoke.control.cold;

import io.damaskyoke.control.upstreams.UpstreamId;

/**
 * This router's share of the requests that an upstream can take from all routers: {@code
 * share.of(upstream, 48.5)}.
 *
 * <p>No router sees what the others send, and asking them would take longer than an upstream is
 * cold. So the shares must add up without communication, also while some routers are cut off.
 */
@FunctionalInterface
public interface UpstreamShare {
    /**
     * Returns how many requests this router may send to the upstream.
     *
     * @param all number of requests that all routers may send together in the same period
     */
    int of(UpstreamId upstream, double all);

    /** Returns the number of routers that share the upstreams. */
    default int routers() {
        return 1;
    }
}
