package io.damaskyoke.direct;

import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.util.Map;

/** What the leader tells all other routers: {@code news.tell(fencing, held)}. */
interface LeaderNews {
    /** Tells what upstreams hold, by the leader with this fencing token. */
    void tell(long fencing, Map<UpstreamId, HeldModels> held);

    /** Tells of an order that the next leader has to reckon with. */
    void tellOpen(UnansweredLoadOrder load);
}
