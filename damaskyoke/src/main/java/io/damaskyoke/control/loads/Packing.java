package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;

/**
 * How much of an upstream's memory no model can use: {@code packing.loss(freeBefore, freeAfter)}.
 *
 * <p>The pattern: models of a few sizes, two to four of them at an upstream, and nearly as many as
 * all memory can hold. Two small models beside each other leave room for a third, a small one
 * beside a large one leaves a gap for none. Packed as they come, a fifth of all memory is such
 * gaps, and each model that is not held costs a change for every few requests.
 */
final class Packing {
    /**
     * What a gap as large as a usual model costs, in waiting seconds a second: one model that is
     * asked for every few seconds is not held, and needs a change of about a second each time.
     */
    private static final double MODEL_GAP_COST = 0.3;

    /** Memory is counted in so many steps; finer ones would tell sizes apart that don't differ. */
    private static final int STEPS = 400;

    private final double step;
    private final double usual;
    private final int[] leastLeft = new int[STEPS + 1];

    private Packing(EngineSpec spec) {
        step = spec.weightsMb() / STEPS;
        usual =
                spec.models().values().stream()
                        .mapToDouble(ModelSpec::weightsMb)
                        .average()
                        .orElse(1);
        int[] sizes =
                spec.models().values().stream()
                        .mapToInt(model -> (int) Math.ceil(model.weightsMb() / step))
                        .filter(size -> size > 0)
                        .distinct()
                        .toArray();
        fill(sizes);
    }

    /** The packing of a service's models. */
    static Packing of(EngineSpec spec) {
        return new Packing(spec);
    }

    // Step by step, so that hundreds of models of as many sizes cost no more than a few.
    private void fill(int[] sizes) {
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
     * What it costs, in expected waiting seconds a second, that the free memory goes from the one
     * to the other, in MB; negative if more of it can be used than before.
     */
    double loss(double freeBefore, double freeAfter) {
        return (gap(freeAfter) - gap(freeBefore)) / usual * MODEL_GAP_COST;
    }

    /** What is left of so much free memory, in MB, when it is filled with models as well as can. */
    double gap(double free) {
        int steps = (int) Math.max(0, Math.min(STEPS, Math.floor(free / step)));
        return leastLeft[steps] * step;
    }
}
