package io.damaskyoke.control.crashes;

import io.damaskyoke.control.upstreams.UpstreamId;

/**
 * A crash of an upstream, identified by the upstream's incarnation, so that reports of several
 * routers about one crash are recognized as such.
 *
 * @param startedAt start of the incarnation that crashed, in Unix milliseconds
 */
public record UpstreamCrash(UpstreamId upstream, long startedAt) {}
