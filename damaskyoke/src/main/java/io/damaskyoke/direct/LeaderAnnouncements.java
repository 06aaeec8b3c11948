package io.damaskyoke.direct;

import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.util.Map;

/**
 * Sends the leader's announcements to all other routers: {@code
 * announcements.announceHeldModels(fencing, held)}.
 */
interface LeaderAnnouncements {
    /** Announces the models that upstreams hold, as the leader with this fencing token. */
    void announceHeldModels(long fencing, Map<UpstreamId, HeldModels> held);

    /** Announces an unanswered load order, which the next leader must take into account. */
    void announceUnansweredLoad(UnansweredLoadOrder load);
}
