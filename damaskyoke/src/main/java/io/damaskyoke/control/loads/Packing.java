package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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

    private final List<Double> sizes;
    private final double usual;
    private final Map<Long, Double> gaps = new HashMap<>();

    private Packing(List<Double> sizes, double usual) {
        this.sizes = sizes;
        this.usual = usual;
    }

    /** The packing of a service's models. */
    static Packing of(EngineSpec spec) {
        List<Double> sizes =
                spec.models().values().stream().map(ModelSpec::weightsMb).distinct().toList();
        double usual =
                spec.models().values().stream()
                        .mapToDouble(ModelSpec::weightsMb)
                        .average()
                        .orElse(1);
        return new Packing(sizes, usual);
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
        long key = (long) free;
        Double known = gaps.get(key);
        if (known == null) {
            known = leastLeft(free);
            gaps.put(key, known);
        }
        return known;
    }

    private double leastLeft(double free) {
        double least = Math.max(0, free);
        for (double size : sizes) {
            if (size > 0 && size <= free) {
                least = Math.min(least, leastLeft(free - size));
            }
        }
        return least;
    }
}
