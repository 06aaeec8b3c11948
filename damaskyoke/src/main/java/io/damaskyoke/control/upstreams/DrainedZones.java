package io.damaskyoke.control.upstreams;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The availability zones that operators have drained: {@code zones.drain("b", notYetAt)}.
 *
 * <p>A zone is drained in two phases. While its upstreams may still receive requests, models that
 * only they hold are loaded elsewhere, and requests that other upstreams can serve go there. Then
 * the zone is closed and receives nothing new; requests that run there end by themselves. Belongs
 * to the traffic thread.
 */
public final class DrainedZones {
    /** Default of the time after an accepted drain during which requests may reach the zone. */
    public static final Duration DEFAULT_LIMIT = Duration.ofSeconds(5);

    /** Allowance for the delivery of a request: a link with a queue, and a delayed thread. */
    private static final Duration DELIVERY_ALLOWANCE = Duration.ofSeconds(1);

    private final Duration limit;
    private final Map<String, Instant> notYetAtByZone = new HashMap<>();

    /**
     * Creates an object without drained zones.
     *
     * @param limit how long requests may reach a zone after its drain was accepted
     */
    public DrainedZones(Duration limit) {
        if (limit.isNegative()) {
            throw new IllegalArgumentException(
                    "the time limit of a zone drain must not be negative: " + limit);
        }
        this.limit = limit;
    }

    /**
     * Drains a zone. If a drain is reported twice, the earlier moment applies.
     *
     * @param notYetAt a moment at which the drain had not been requested yet; {@link Instant#MIN},
     *     which closes the zone at once, if no such moment is known
     * @return true if the zone was not drained before
     */
    public boolean drain(String zone, Instant notYetAt) {
        Instant known = notYetAtByZone.get(zone);
        if (known == null || notYetAt.isBefore(known)) {
            notYetAtByZone.put(zone, notYetAt);
        }
        return known == null;
    }

    /**
     * Revokes the drain of a zone.
     *
     * @return true if the zone was drained before
     */
    public boolean restore(String zone) {
        return notYetAtByZone.remove(zone) != null;
    }

    /** Returns true if the zone is drained, whether requests may still go there or not. */
    public boolean isDrained(String zone) {
        return !notYetAtByZone.isEmpty() && notYetAtByZone.containsKey(zone);
    }

    /** Returns true if no request may be sent to the zone. */
    public boolean isClosed(String zone, Instant now) {
        Instant notYetAt = notYetAtByZone.isEmpty() ? null : notYetAtByZone.get(zone);
        if (notYetAt == null) {
            return false;
        }
        return notYetAt.equals(Instant.MIN)
                || !now.isBefore(notYetAt.plus(limit).minus(DELIVERY_ALLOWANCE));
    }

    /**
     * Returns all drained zones, each with a moment at which its drain had not been requested yet.
     */
    public Map<String, Instant> all() {
        return Map.copyOf(notYetAtByZone);
    }
}
