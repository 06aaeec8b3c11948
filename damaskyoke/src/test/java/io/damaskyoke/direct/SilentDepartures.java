package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.UpstreamId;

/** Announces nothing, as there is no other router. */
final class SilentDepartures implements AnnouncedDepartures.Transport {
    @Override
    public void announceLeaving(UpstreamId upstream, long startedAt) {
        // No other router.
    }

    @Override
    public void forwardLeaving(UpstreamId upstream, long startedAt) {
        // No other router.
    }
}
