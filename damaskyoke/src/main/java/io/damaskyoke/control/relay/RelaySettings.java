package io.damaskyoke.control.relay;

import java.time.Duration;

/**
 * The times that a {@link RelayMachine} goes by.
 *
 * @param probe how often a process asks one of its relays, taken in turn
 * @param answer how long a relay may take before the other one is asked
 * @param silence how long no relay may have answered before the store is asked
 * @param patience how long the configuration may be unconfirmed before the store is asked, although
 *     relays answer
 * @param storePeriod how often the store is asked while relays are silent, at first; the pause
 *     doubles up to {@code longestStorePeriod} as long as that confirms nothing
 * @param unconfirmedPeriod the same while relays answer but can't confirm
 * @param longestStorePeriod the longest of these pauses
 */
public record RelaySettings(
        Duration probe,
        Duration answer,
        Duration silence,
        Duration patience,
        Duration storePeriod,
        Duration unconfirmedPeriod,
        Duration longestStorePeriod) {
    /** What fits a limit of ten seconds for admitting unconfirmed, and 3 KB/s at a process. */
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
