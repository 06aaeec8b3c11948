package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.ColdGate;
import io.damaskyoke.control.cold.LimitGate;
import io.damaskyoke.control.notices.DepartureNotice;
import io.damaskyoke.control.notices.PauseGate;
import java.time.Instant;

/**
 * The limits on requests to one upstream. They are kept when its entry is removed from the list.
 */
record UpstreamGates(ColdGate cold, LimitGate limit, PauseGate pause, DepartureNotice departure) {
    /** Creates gates that let every request pass. */
    UpstreamGates() {
        this(new ColdGate(), new LimitGate(), new PauseGate(), new DepartureNotice());
    }

    /** Returns true if they would still count should their upstream, which is gone, be back. */
    boolean isKeptUnlisted(Instant now) {
        return pause.isPaused(now) || departure.isKeptUnlisted(now);
    }

    /** Takes the incarnation that the list states, by its start in Unix milliseconds. */
    void incarnationListed(long startedAt, Instant now) {
        pause.incarnationListed(startedAt, now);
        departure.incarnationListed(startedAt, now);
    }
}
