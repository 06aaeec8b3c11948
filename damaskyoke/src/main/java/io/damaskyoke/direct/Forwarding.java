package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.util.Optional;

/**
 * What a router adds to a request that it passes on.
 *
 * @param to the only upstream that may run it
 * @param left of the caller's time
 * @param workspace that holds the caller's key
 * @param urgency 0 goes first
 * @param lastEvent after which a stream is to go on
 */
public record Forwarding(
        UpstreamId to,
        Duration left,
        Optional<WorkspaceId> workspace,
        int urgency,
        Optional<String> lastEvent) {}
