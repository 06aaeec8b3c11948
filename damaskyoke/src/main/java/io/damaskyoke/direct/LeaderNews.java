package io.damaskyoke.direct;

import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.util.Map;

/** Sends the leader's announcements to all other routers: {@code news.tell(fencing, held)}. */
interface LeaderNews {
    /** Announces the models that upstreams hold, as the leader with this fencing token. */
    void tell(long fencing, Map<UpstreamId, HeldModels> held);

    /** Announces an unanswered load order, which the next leader must take into account. */
    void tellOpen(UnansweredLoadOrder load);
}
