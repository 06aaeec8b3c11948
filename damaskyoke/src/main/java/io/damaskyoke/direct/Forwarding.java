package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.util.Optional;

/**
 * The fields that a router adds to a request that it forwards.
 *
 * @param to the only upstream that may run the request
 * @param left the time that remains for the caller
 * @param workspace the workspace of the caller's key, if any
 * @param urgency the priority; 0 goes first
 * @param lastEvent the id of the event after which the upstream resumes a stream
 */
public record Forwarding(
        UpstreamId to,
        Duration left,
        Optional<WorkspaceId> workspace,
        int urgency,
        Optional<String> lastEvent) {}
