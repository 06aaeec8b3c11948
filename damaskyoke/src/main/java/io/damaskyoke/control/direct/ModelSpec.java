package io.damaskyoke.control.direct;

import java.time.Duration;

/**
 * A model, its memory and its load times.
 *
 * @param weightsMb memory for its weights, in MB
 * @param fromStore time to load it from the weight store
 * @param fromMemory time to load it from the upstream's own main memory
 * @param fromDisk time to load it from the upstream's own disk
 * @param adapterMb memory for one adapter, in MB
 */
public record ModelSpec(
        String name,
        double weightsMb,
        Duration fromStore,
        Duration fromMemory,
        Duration fromDisk,
        double adapterMb) {}
