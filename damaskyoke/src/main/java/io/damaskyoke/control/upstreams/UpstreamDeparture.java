package io.damaskyoke.control.upstreams;

/**
 * An upstream that drains or was removed, as one router announces it to another.
 *
 * @param revision store revision at which this was known
 * @param removed whether the entry of the upstream was removed; otherwise it drains
 */
public record UpstreamDeparture(UpstreamId upstream, long revision, boolean removed) {}
