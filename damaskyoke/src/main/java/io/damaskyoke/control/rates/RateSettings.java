package io.damaskyoke.control.rates;

import java.time.Duration;

/**
 * The times that rates go by.
 *
 * @param validity how long shares may be spent without a read of the store
 * @param freeze a gap between two ticks after which the store is read before anything is spent
 * @param isolation how long shares are spent with no word from store, list or any other router
 * @param gone how long a VM must be off the list and silent before its share is marked
 * @param takeBack how long a mark must stand before the share is taken
 * @param loan how long a lent token may be spent, from the asking on
 * @param hold how long a request may wait for tokens from other routers
 * @param readPeriod between two reads of all tables
 * @param writeGap between two writes of one router that let shares follow demand
 */
public record RateSettings(
        Duration validity,
        Duration freeze,
        Duration isolation,
        Duration gone,
        Duration takeBack,
        Duration loan,
        Duration hold,
        Duration readPeriod,
        Duration writeGap) {
    /** What the daemons use; docs/design/rates.md says why. */
    public static RateSettings usual() {
        return new RateSettings(
                Duration.ofMinutes(10),
                Duration.ofSeconds(5),
                Duration.ofSeconds(15),
                Duration.ofSeconds(30),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                Duration.ofMillis(200));
    }
}
