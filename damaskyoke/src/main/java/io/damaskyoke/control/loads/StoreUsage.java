package io.damaskyoke.control.loads;

/**
 * How much of the weight store's capacity is in use.
 *
 * @param runningLoads loads that are running, as far as is known
 * @param fullSpeedLoads estimated number of loads that can run at once without slowing each other
 *     down
 */
public record StoreUsage(int runningLoads, int fullSpeedLoads) {}
