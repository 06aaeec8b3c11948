package io.damaskyoke.control.crashes;

import io.damaskyoke.control.upstreams.UpstreamId;

/**
 * The end of one life of an upstream, by which two routers tell of the same end.
 *
 * @param startedAt Unix milliseconds of that life's start
 */
public record UpstreamEnd(UpstreamId upstream, long startedAt) {}
