package io.damaskyoke.control.replicas;

import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;

/** Predicts when loads end that have to wait for one of the engine's load slots. */
final class LoadSlots {
    private final PriorityQueue<Duration> freeAfter = new PriorityQueue<>();

    /** Creates the slots from the time left of the running loads; the other slots are free now. */
    LoadSlots(List<Duration> running, int slots) {
        freeAfter.addAll(running);
        while (freeAfter.size() < slots) {
            freeAfter.add(Duration.ZERO);
        }
    }

    /** Queues a load and returns the time until it ends. */
    Duration schedule(Duration load) {
        Duration end = freeAfter.remove().plus(load);
        freeAfter.add(end);
        return end;
    }
}
