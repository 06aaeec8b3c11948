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
 * @param joiningHold the same in the first two seconds, when shares are joined one after the other
 * @param readPeriod between two reads of all tables
 * @param keeps whether half of a full bucket is kept for the next life on the VM
 * @param writeGap between two writes of one router that let shares follow demand
 * @param owned whether one router has most of a workspace and queues what the others ask for; else
 *     shares follow demand
 */
public record RateSettings(
        Duration validity,
        Duration freeze,
        Duration isolation,
        Duration gone,
        Duration takeBack,
        Duration loan,
        Duration hold,
        Duration joiningHold,
        Duration readPeriod,
        boolean keeps,
        Duration writeGap,
        boolean owned) {
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
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                false,
                Duration.ofMillis(200),
                false);
    }

    /**
     * What routers use that reach upstreams themselves.
     *
     * <p>A router that is lost for good may have been the owner of a workspace, which is served
     * from the small parts of the others until its part is taken back; so that is soon. Nobody
     * takes it before a router that is only cut off must have stopped spending: gone and takeBack
     * together are longer than isolation. Links to other routers are heard of every second or two,
     * so that an outage of the store alone isolates nobody. A killed router's next life takes its
     * share over at once. Holding is half of what callers want an answer in, and longer after a
     * start, when a refusal would meet callers who are well within their rate; a loan takes a few
     * milliseconds, and so shares need not follow demand at every turn: each write has its price.
     */
    public static RateSettings direct() {
        return new RateSettings(
                Duration.ofMinutes(10),
                Duration.ofMillis(1_500),
                Duration.ofSeconds(5),
                Duration.ofSeconds(2),
                Duration.ofSeconds(4),
                Duration.ofSeconds(2),
                Duration.ofMillis(150),
                Duration.ofMillis(500),
                Duration.ofSeconds(3),
                true,
                Duration.ofSeconds(1),
                true);
    }

    /** The same with shares that follow demand, and no owners. */
    public RateSettings withoutOwners() {
        return new RateSettings(
                validity,
                freeze,
                isolation,
                gone,
                takeBack,
                loan,
                hold,
                joiningHold,
                readPeriod,
                keeps,
                writeGap,
                false);
    }
}
