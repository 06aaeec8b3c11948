package io.damaskyoke.control.relay;

import java.time.Duration;

/**
 * Intervals and timeouts of a {@link RelayMachine}.
 *
 * @param probe how often a process asks one of its relays, round robin
 * @param answer how long a relay may take to answer before the other one is asked
 * @param silence how long no relay may have answered before the store is asked
 * @param patience how long the configuration may be unconfirmed before the store is asked although
 *     relays answer
 * @param storePeriod how often the store is asked at first while relays are silent; the interval
 *     doubles up to {@code longestStorePeriod} as long as nothing is confirmed
 * @param unconfirmedPeriod how often the store is asked at first while relays answer but can't
 *     confirm
 * @param longestStorePeriod the longest interval between two reads of the store
 */
public record RelaySettings(
        Duration probe,
        Duration answer,
        Duration silence,
        Duration patience,
        Duration storePeriod,
        Duration unconfirmedPeriod,
        Duration longestStorePeriod) {
    /**
     * Returns settings for a limit of ten seconds in which unconfirmed configuration is used for
     * admission, and for 3 KB/s per process.
     */
    public static RelaySettings standard() {
        return new RelaySettings(
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(4),
                Duration.ofSeconds(8),
                Duration.ofSeconds(4),
                Duration.ofSeconds(20),
                Duration.ofSeconds(60));
    }
}
