package io.damaskyoke.control.direct;

import java.time.Duration;

/**
 * A model and what it takes to have it ready.
 *
 * @param weightsMb memory of its weights, in MB
 * @param fromStore a load from the weight store
 * @param fromMemory a load from the upstream's own main memory
 * @param fromDisk a load from the upstream's own disk
 * @param adapterMb memory of one adapter, in MB
 */
public record ModelSpec(
        String name,
        double weightsMb,
        Duration fromStore,
        Duration fromMemory,
        Duration fromDisk,
        double adapterMb) {}
