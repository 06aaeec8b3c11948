package io.damaskyoke.control.direct;

import java.time.Duration;

/**
 * A model, its memory and its load times.
 *
 * @param weightsMb memory for its weights, in MB
 * @param storeLoadTime time to load it from the weight store
 * @param memoryLoadTime time to load it from the upstream's own main memory
 * @param diskLoadTime time to load it from the upstream's own disk
 * @param adapterMb memory for one adapter, in MB
 */
public record ModelSpec(
        String name,
        double weightsMb,
        Duration storeLoadTime,
        Duration memoryLoadTime,
        Duration diskLoadTime,
        double adapterMb) {}
