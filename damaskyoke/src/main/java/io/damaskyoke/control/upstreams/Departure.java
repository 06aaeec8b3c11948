package io.damaskyoke.control.upstreams;

/**
 * An upstream that leaves, as one router tells another.
 *
 * @param revision where the store stood when it was known to leave
 * @param gone whether its entry is gone; else it drains
 */
public record Departure(UpstreamId upstream, long revision, boolean gone) {}
