package io.damaskyoke.control.upstreams;

import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.util.Set;

/**
 * The entry of an upstream in the platform's list, as the upstream has written it.
 *
 * @param revision store revision of the entry
 * @param zone availability zone of the upstream
 * @param slots maximum number of requests that it runs at once
 * @param draining whether it is about to leave and takes no new requests
 * @param remainingColdTime how much longer it is slow after its start; zero if it is warm
 * @param held the models and adapters that it holds
 * @param inMemory models with a copy in its main memory, from which they are loaded fast
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
        Duration remainingColdTime,
        HeldModels held,
        Set<String> inMemory,
        Set<String> onDisk) {
    /** Returns a copy that is draining as of this store revision. */
    public UpstreamFacts drainingSince(long atRevision) {
        return new UpstreamFacts(
                id,
                atRevision,
                service,
                endpoint,
                zone,
                slots,
                true,
                remainingColdTime,
                held,
                inMemory,
                onDisk);
    }
}
