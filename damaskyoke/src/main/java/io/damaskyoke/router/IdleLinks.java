package io.damaskyoke.router;

import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Closes a router's links to agents that it has not used for a while. Most models are idle, and a
 * link to each agent ever used would cost memory and heartbeats at every router for no use. Control
 * thread only.
 */
final class IdleLinks {
    private final Duration limit;
    private final Consumer<PeerAddress> closer;
    private final Map<VmId, LinkUse> links = new HashMap<>();

    /** Creates a tracker that closes links by {@code closer} once unused for {@code limit}. */
    IdleLinks(Duration limit, Consumer<PeerAddress> closer) {
        this.limit = limit;
        this.closer = closer;
    }

    /** Records that a request is about to use the link. */
    void recordUse(PeerAddress address, Instant now) {
        links.put(address.vm(), new LinkUse(address, now));
    }

    /** Closes the idle links, except those to VMs that still have a request. */
    void closeIdle(Predicate<VmId> busy, Instant now) {
        Iterator<LinkUse> all = links.values().iterator();
        while (all.hasNext()) {
            LinkUse link = all.next();
            boolean idle = !now.isBefore(link.at().plus(limit));
            if (idle && !busy.test(link.address().vm())) {
                all.remove();
                closer.accept(link.address());
            }
        }
    }

    private record LinkUse(PeerAddress address, Instant at) {}
}
