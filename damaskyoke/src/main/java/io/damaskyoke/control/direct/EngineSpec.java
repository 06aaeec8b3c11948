package io.damaskyoke.control.direct;

import java.util.Map;

/**
 * The capacity of the upstreams of a model service.
 *
 * @param slots maximum number of requests that one upstream runs at once
 * @param kvTokens memory for running requests and cached prompts, in tokens
 * @param weightsMb memory for weights and adapters, in MB
 * @param adapterSlots maximum number of adapters that one upstream holds
 * @param loadsPerSecond maximum rate of loads from the weight store, over all upstreams
 * @param models the models by name
 */
public record EngineSpec(
        int slots,
        long kvTokens,
        double weightsMb,
        int adapterSlots,
        double loadsPerSecond,
        Map<String, ModelSpec> models) {}
