package io.damaskyoke.settings;

import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a router that reaches upstreams itself is told at its start.
 *
 * @param vm its name
 * @param availabilityZone where it runs; near upstreams are preferred
 * @param callers where callers connect to
 * @param ready where the balancer asks whether it is ready
 * @param store the platform's key-value service
 * @param storePrefix what our keys there begin with
 * @param storeTimeout how long one call may take
 * @param metricsPort at the peers' address; 0 for none
 * @param retryWindow over which second sends are counted
 * @param retryRatio second sends as a part of the requests, over all routers
 * @param retryExtra second sends beyond that part, over all routers
 * @param grace how long a stop may take
 * @param zones availability zones, their regions, and how one is left
 * @param cold what upstreams bear that have just started
 * @param answerLimits how large upstreams' answers may be
 * @param maxUnreadBytes how many bytes of answers may wait for callers, over all connections
 * @param maxBodyBytes how many bytes of large requests and answers may be in memory, over all
 *     connections; empty if the settings don't say
 * @param capacity cores that this router may use; empty if the settings don't say
 * @param peer how it talks to other routers
 */
public record DirectSettings(
        String vm,
        String availabilityZone,
        Endpoint callers,
        Endpoint ready,
        Endpoint store,
        String storePrefix,
        Duration storeTimeout,
        int metricsPort,
        Duration retryWindow,
        double retryRatio,
        double retryExtra,
        Duration grace,
        Zones zones,
        Cold cold,
        AnswerLimits answerLimits,
        int maxUnreadBytes,
        OptionalLong maxBodyBytes,
        OptionalDouble capacity,
        PeerSettings peer) {
    /**
     * Availability zones.
     *
     * @param regions the region of each; empty if the deployment names none
     * @param drainLimit how long after a zone is drained requests may reach it
     */
    public record Zones(Map<String, String> regions, Duration drainLimit) {}

    /**
     * What a cold upstream bears, from all routers together.
     *
     * @param overage in times the requests a second that its service names
     * @param slack requests a second beyond that
     */
    public record Cold(double overage, double slack) {}

    /**
     * The largest answers of upstreams. The attempt that gets a larger one fails: an upstream may
     * send bytes without end, which would fill the router's memory.
     *
     * @param bodyBytes the largest body of an answer that is no stream, in bytes
     * @param eventBytes the largest event of a stream, in bytes
     */
    public record AnswerLimits(int bodyBytes, int eventBytes) {}
}
