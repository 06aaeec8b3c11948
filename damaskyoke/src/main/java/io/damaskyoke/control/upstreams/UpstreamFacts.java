package io.damaskyoke.control.upstreams;

import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.util.Set;

/**
 * What an upstream says of itself in the platform's list.
 *
 * @param revision where this stands in the store
 * @param zone its availability zone
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave and takes no new work
 * @param coldLeft how much longer it is slow after its start
 * @param held the models and adapters that it holds
 * @param inMemory models with a copy in its main memory, ready to be loaded fast
 * @param onDisk models with a copy on its disk
 */
public record UpstreamFacts(
        UpstreamId id,
        long revision,
        String service,
        Endpoint endpoint,
        String zone,
        int slots,
        boolean draining,
        Duration coldLeft,
        HeldModels held,
        Set<String> inMemory,
        Set<String> onDisk) {
    /** The same, known at this revision to be about to leave. */
    public UpstreamFacts leavingAt(long since) {
        return new UpstreamFacts(
                id, since, service, endpoint, zone, slots, true, coldLeft, held, inMemory, onDisk);
    }
}
