package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;

/**
 * Computes how much of an upstream's memory is fragmented, so that no model fits in it: {@code
 * fragmentation.costOfChange(freeBefore, freeAfter)}.
 *
 * <p>The expected load is models of a few sizes, two to four of them on an upstream, and nearly as
 * many in total as all memory can hold. Two small models together leave room for a third; a small
 * one with a large one leaves a gap that no model fits in. Without regard to sizes, a fifth of all
 * memory ends up in such gaps, and each model that is not held costs a swap every few requests.
 */
final class MemoryFragmentation {
    /**
     * Cost of a gap of average model size, in seconds of expected waiting per second: one model
     * that is requested every few seconds is not held, and needs a swap of about a second each
     * time.
     */
    private static final double MODEL_GAP_COST = 0.3;

    /**
     * Number of steps in which memory is counted. Smaller steps would distinguish sizes that do not
     * differ in practice.
     */
    private static final int STEPS = 400;

    private final double stepMb;
    private final double averageModelMb;
    private final int[] leastLeft = new int[STEPS + 1];

    private MemoryFragmentation(EngineSpec spec) {
        stepMb = spec.weightsMb() / STEPS;
        averageModelMb =
                spec.models().values().stream()
                        .mapToDouble(ModelSpec::weightsMb)
                        .average()
                        .orElse(1);
        int[] sizes =
                spec.models().values().stream()
                        .mapToInt(model -> (int) Math.ceil(model.weightsMb() / stepMb))
                        .filter(size -> size > 0)
                        .distinct()
                        .toArray();
        computeLeastLeft(sizes);
    }

    /** Creates the computation for the models of a service. */
    static MemoryFragmentation of(EngineSpec spec) {
        return new MemoryFragmentation(spec);
    }

    // Dynamic programming over the steps, so that hundreds of models of as many sizes cost no more
    // than a few.
    private void computeLeastLeft(int[] sizes) {
        for (int free = 0; free <= STEPS; free++) {
            leastLeft[free] = free;
            for (int size : sizes) {
                if (size <= free) {
                    leastLeft[free] = Math.min(leastLeft[free], leastLeft[free - size]);
                }
            }
        }
    }

    /**
     * Returns the cost, in seconds of expected waiting per second, of a change of the free memory
     * from one amount to the other, in MB. Negative if more of the memory can be used than before.
     */
    double costOfChange(double freeBeforeMb, double freeAfterMb) {
        return (unusableMb(freeAfterMb) - unusableMb(freeBeforeMb))
                / averageModelMb
                * MODEL_GAP_COST;
    }

    /**
     * Returns the memory, in MB, that stays unused when this much free memory is filled with models
     * as well as possible.
     */
    double unusableMb(double freeMb) {
        int steps = (int) Math.max(0, Math.min(STEPS, Math.floor(freeMb / stepMb)));
        return leastLeft[steps] * stepMb;
    }
}
