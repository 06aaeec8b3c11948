package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.util.Optional;

/**
 * The fields that a router adds to a request that it forwards.
 *
 * @param upstream the only upstream that may run the request
 * @param remainingTime the time that remains for the caller
 * @param workspaceName the name of the workspace of the caller's key, if any; it may have any
 *     characters
 * @param priority the request's priority; 0 goes first
 * @param lastEventId the id of the event after which the upstream resumes a stream
 */
public record ForwardingMetadata(
        UpstreamId upstream,
        Duration remainingTime,
        Optional<String> workspaceName,
        int priority,
        Optional<String> lastEventId) {}
