package io.damaskyoke.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * The part of a router's report that says how current its data is and how well it runs.
 *
 * @param configurationRevision the revision of the configuration in force; 0 for none
 * @param upstreamsRevision the revision up to which the router knows the list of upstreams
 * @param drains the drained availability zones that the router knows
 * @param storeUp whether the store answers the router
 * @param lag the average lag of the router's control thread
 */
record RouterStatus(
        long configurationRevision,
        long upstreamsRevision,
        DrainStatus drains,
        boolean storeUp,
        Duration lag) {
    /**
     * The drained availability zones as of a revision of the store.
     *
     * @param revision the revision of the store
     * @param notBefore for each zone a time at which its drain was not yet requested; {@code
     *     Instant.MIN} if none is known
     */
    record DrainStatus(long revision, Map<String, Instant> notBefore) {}
}
