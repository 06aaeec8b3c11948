package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.ModelSpec;

/**
 * The memory that a model and each of its adapters take.
 *
 * @param weightsMb memory for its weights, in MB
 * @param adapterMb memory for one adapter, in MB
 */
public record ModelSize(double weightsMb, double adapterMb) {
    static ModelSize of(ModelSpec model) {
        return new ModelSize(model.weightsMb(), model.adapterMb());
    }

    /** Returns the larger of each. */
    static ModelSize largest(ModelSize one, ModelSize other) {
        return new ModelSize(
                Math.max(one.weightsMb, other.weightsMb), Math.max(one.adapterMb, other.adapterMb));
    }
}
