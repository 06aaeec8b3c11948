package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Instant;

/**
 * Where and when a request, an order or a report request was sent, which tells whose answer comes
 * later.
 *
 * @param startedAt start of the incarnation that was listed then, in Unix milliseconds
 * @param at when its bytes were written
 */
record SentTo(Upstream upstream, long startedAt, Instant at) {
    /** Returns what is sent now. */
    static SentTo of(Upstream upstream, Instant now) {
        return new SentTo(upstream, upstream.facts().held().startedAt(), now);
    }

    /** Returns the addressed upstream. */
    UpstreamId id() {
        return upstream.facts().id();
    }

    /**
     * Returns true if the answer must be of an incarnation before the one that is listed now.
     *
     * @param listedStart start of the incarnation that is listed now
     */
    boolean isOutdatedBy(long listedStart) {
        return listedStart != startedAt && listedStart > at.toEpochMilli();
    }
}
