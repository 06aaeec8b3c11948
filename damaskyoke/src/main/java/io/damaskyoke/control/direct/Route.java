package io.damaskyoke.control.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A route: which services get the requests for a host and the paths below a prefix, and how.
 *
 * @param pathPrefix the prefix, which begins and ends with a slash
 * @param timeout maximum time until a caller has the whole answer
 * @param objective time within which an answer, or the first event of a stream, is on time
 * @param gapObjective longest pause between two events that is on time; empty if not set
 * @param priority priority of the requests; 0 is the highest
 * @param attempts maximum number of upstreams that may run one request
 * @param anonymous whether requests need no caller key
 * @param resumable whether a stream may be continued by another upstream
 * @param allowedRegions the regions in which its requests may be served
 * @param targets the services with their weights, at least one
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration objective,
        Optional<Duration> gapObjective,
        int priority,
        int attempts,
        boolean anonymous,
        boolean resumable,
        AllowedRegions allowedRegions,
        List<Target> targets) {
    /** A service and its weight; the service gets the weight's share of the sum of all weights. */
    public record Target(String service, double weight) {}

    /**
     * Returns true if a request may run a second time, or may be continued where its stream broke
     * off.
     */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAMING && resumable;
    }

    /**
     * Returns the service for a request.
     *
     * @param position a number from 0 to 1, uniformly distributed over the requests
     */
    public String chooseService(double position) {
        double sum = targets.stream().mapToDouble(Target::weight).sum();
        double remaining = position * sum;
        for (Target target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    /**
     * Returns how long a caller waits for an event of a stream, the first one included, before it
     * disconnects.
     */
    public Duration maxEventWait() {
        Duration wait = MIN_EVENT_WAIT;
        Duration byObjective = objective.multipliedBy(OBJECTIVES_PER_EVENT_WAIT);
        Duration byGap =
                gapObjective.orElse(Duration.ZERO).multipliedBy(GAP_OBJECTIVES_PER_EVENT_WAIT);
        wait = wait.compareTo(byObjective) < 0 ? byObjective : wait;
        return wait.compareTo(byGap) < 0 ? byGap : wait;
    }

    /** The callers' own figures, as published to all services, as are the next two. */
    private static final Duration MIN_EVENT_WAIT = Duration.ofSeconds(2);

    private static final int OBJECTIVES_PER_EVENT_WAIT = 4;
    private static final int GAP_OBJECTIVES_PER_EVENT_WAIT = 8;
}
