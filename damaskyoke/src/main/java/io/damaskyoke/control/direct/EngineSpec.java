package io.damaskyoke.control.direct;

import java.util.Map;

/**
 * What the upstreams of a model service have room for.
 *
 * @param slots requests that one of them runs at once
 * @param kvTokens memory for running requests and kept prompts, in tokens
 * @param weightsMb memory for weights and adapters, in MB
 * @param adapterSlots adapters that one of them holds
 * @param loadsPerSecond loads that the weight store allows over all upstreams
 * @param models by name
 */
public record EngineSpec(
        int slots,
        long kvTokens,
        double weightsMb,
        int adapterSlots,
        double loadsPerSecond,
        Map<String, ModelSpec> models) {}
