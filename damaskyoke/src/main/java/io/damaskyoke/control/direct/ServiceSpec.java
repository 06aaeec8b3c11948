package io.damaskyoke.control.direct;

import java.time.Duration;
import java.util.Optional;

/**
 * A service that upstreams belong to.
 *
 * @param maxConnections maximum number of connections that one upstream takes from all routers
 *     together
 * @param coldTime how long an upstream is cold after its start; zero if it never is
 * @param coldPerSecond requests per second that a cold upstream is built for
 * @param engine capacity of a model service; empty for any other service
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        Duration coldTime,
        double coldPerSecond,
        Optional<EngineSpec> engine) {}
