package io.damaskyoke.control.relay;

import java.time.Duration;

/**
 * Intervals and timeouts of a {@link RelayMachine}.
 *
 * @param probeInterval how often a process asks one of its relays, round robin
 * @param answerTimeout how long a relay may take to answer before the other one is asked
 * @param silenceTimeout how long no relay may have answered before the store is asked
 * @param maxUnconfirmed how long the configuration may be unconfirmed before the store is asked
 *     although relays answer
 * @param silentStoreInterval how often the store is asked at first while relays are silent; the
 *     interval doubles up to {@code maxStoreInterval} as long as nothing is confirmed
 * @param unconfirmedStoreInterval how often the store is asked at first while relays answer but
 *     can't confirm
 * @param maxStoreInterval the longest interval between two reads of the store
 */
public record RelaySettings(
        Duration probeInterval,
        Duration answerTimeout,
        Duration silenceTimeout,
        Duration maxUnconfirmed,
        Duration silentStoreInterval,
        Duration unconfirmedStoreInterval,
        Duration maxStoreInterval) {
    /**
     * Returns settings for a limit of ten seconds in which unconfirmed configuration is used for
     * admission, and for 3 KB/s per process.
     */
    public static RelaySettings defaults() {
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
