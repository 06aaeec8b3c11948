package io.damaskyoke.control.rates;

import java.time.Duration;

/**
 * The timing of rate sharing.
 *
 * @param readValidity how long shares may be spent without a read of the store
 * @param freezeThreshold gap between two ticks after which the store is read before anything is
 *     spent
 * @param isolationLimit how long shares are spent without contact to the store, the VM list or any
 *     other router
 * @param goneAfter how long a VM must be off the list and silent before its share is marked
 * @param reclaimDelay how long a mark must stand before the share is reclaimed
 * @param transferLifetime how long a lent token may be spent, from the token request on
 * @param queueTimeout how long a request may wait for tokens from other routers
 * @param startupQueueTimeout the same in the first two seconds, when shares are joined one after
 *     the other
 * @param readPeriod time between two reads of all tables
 * @param reservesForRestart whether half of a full bucket is reserved for the next incarnation on
 *     the VM
 * @param writeInterval time between two writes of one router that adjust shares to demand
 * @param usesOwners whether one router holds most of a workspace and queues the others' token
 *     requests; otherwise shares follow demand
 */
public record RateSettings(
        Duration readValidity,
        Duration freezeThreshold,
        Duration isolationLimit,
        Duration goneAfter,
        Duration reclaimDelay,
        Duration transferLifetime,
        Duration queueTimeout,
        Duration startupQueueTimeout,
        Duration readPeriod,
        boolean reservesForRestart,
        Duration writeInterval,
        boolean usesOwners) {
    /** Returns the settings of the daemons; docs/design/rates.md gives the reasons. */
    public static RateSettings defaults() {
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
     * Returns the settings of routers that reach upstreams themselves.
     *
     * <p>A router that is lost for good may have been the owner of a workspace, which is served
     * from the small parts of the others until the owner's part is reclaimed; so that happens soon.
     * No router reclaims it before a router that is only cut off must have stopped spending: {@code
     * goneAfter} and {@code reclaimDelay} together are longer than {@code isolationLimit}. Other
     * routers are heard from every second or two, so an outage of the store alone isolates no
     * router. The next incarnation of a killed router takes its share over at once. The queue
     * timeout is half of the time in which callers want an answer. It is longer after a start, when
     * a refusal would hit callers who are well within their rate. A transfer takes a few
     * milliseconds, so shares need not follow every change of demand; each write has its price.
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

    /** Returns these settings with shares that follow demand, and without owners. */
    public RateSettings withoutOwners() {
        return new RateSettings(
                readValidity,
                freezeThreshold,
                isolationLimit,
                goneAfter,
                reclaimDelay,
                transferLifetime,
                queueTimeout,
                startupQueueTimeout,
                readPeriod,
                reservesForRestart,
                writeInterval,
                false);
    }
}
