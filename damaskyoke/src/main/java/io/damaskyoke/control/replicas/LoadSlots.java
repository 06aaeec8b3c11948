package io.damaskyoke.control.replicas;

import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;

/** Foretells when loads end that have to wait for one of the engine's few slots. */
final class LoadSlots {
    private final PriorityQueue<Duration> freeAfter = new PriorityQueue<>();

    /** Begins with the time left of the running loads; other slots are free now. */
    LoadSlots(List<Duration> running, int slots) {
        freeAfter.addAll(running);
        while (freeAfter.size() < slots) {
            freeAfter.add(Duration.ZERO);
        }
    }

    /** Queues a load and gives the time until it ends. */
    Duration add(Duration load) {
        Duration end = freeAfter.remove().plus(load);
        freeAfter.add(end);
        return end;
    }
}
