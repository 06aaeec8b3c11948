package io.damaskyoke.control.direct;

import java.util.Optional;

/**
 * A service that upstreams belong to.
 *
 * @param maxConnections that one upstream takes from all routers together
 * @param engine set for a model service, empty for a plain one
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
