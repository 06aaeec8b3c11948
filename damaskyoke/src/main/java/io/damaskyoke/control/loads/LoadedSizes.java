package io.damaskyoke.control.loads;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The sizes of the models that one upstream holds or loads. A model that this leader ordered counts
 * at the largest size that was configured from the order to the end of the load. Any other one may
 * have been loaded at any time, and counts at the largest size ever stated.
 */
final class LoadedSizes {
    private final KnownModels models;
    private final Map<String, Double> orderedMb = new HashMap<>();

    LoadedSizes(KnownModels models) {
        this.models = models;
    }

    /** Records that this leader orders the model to be loaded. */
    void ordered(String model) {
        orderedMb.put(model, models.nextMb(model));
    }

    /**
     * Takes in that the models may have other sizes from now on.
     *
     * @param isLoaded whether a model has surely been loaded, so that it keeps its size
     */
    void configured(Predicate<String> isLoaded) {
        orderedMb.replaceAll(
                (model, size) ->
                        isLoaded.test(model) || !models.isConfigured(model)
                                ? size
                                : Math.max(size, models.nextMb(model)));
    }

    /** Records that the model is not held any more, or not by an order of this leader. */
    void forget(String model) {
        orderedMb.remove(model);
    }

    void clear() {
        orderedMb.clear();
    }

    /** Returns the size of a model that is held or on its way, in MB. */
    double megabytes(String model) {
        Double size = orderedMb.get(model);
        return size == null ? models.largestMb(model) : size;
    }
}
