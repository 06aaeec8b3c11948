package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * The models of a service: what the newest configuration says of them, and the largest sizes that
 * any has stated.
 *
 * <p>An upstream loads a model at the size of the newest configuration, and keeps it at that size
 * when a later one states another. So both sizes count at the same time.
 */
final class KnownModels {
    private final Map<String, ModelSpec> lastStated = new HashMap<>();
    private final Map<String, ModelSize> largestSizes = new HashMap<>();
    private EngineSpec newest;

    KnownModels(EngineSpec first) {
        configured(first);
    }

    void configured(EngineSpec spec) {
        newest = spec;
        lastStated.putAll(spec.models());
        spec.models().forEach((name, model) -> stated(name, ModelSize.of(model)));
    }

    /** Takes in the sizes that earlier configurations stated, which other routers have seen. */
    void recorded(Map<String, ModelSize> sizes) {
        sizes.forEach(this::stated);
    }

    private void stated(String model, ModelSize size) {
        largestSizes.merge(model, size, ModelSize::largest);
    }

    /** Returns what the newest configuration says of the service. */
    EngineSpec newest() {
        return newest;
    }

    /** Returns whether the newest configuration names the model. */
    boolean isConfigured(String model) {
        return newest.models().containsKey(model);
    }

    /** Returns the model as the last configuration that named it did; null if none has. */
    ModelSpec lastStated(String model) {
        return lastStated.get(model);
    }

    /** Returns the largest size that any configuration has stated, by model. */
    Map<String, ModelSize> largestSizes() {
        return Map.copyOf(largestSizes);
    }

    /** Returns the size at which the model is loaded next; all memory if it is not configured. */
    double nextMb(String model) {
        ModelSpec spec = newest.models().get(model);
        return spec == null ? newest.weightsMb() : spec.weightsMb();
    }

    /** Returns the largest size that a loaded model may have; all memory if none is known. */
    double largestMb(String model) {
        ModelSize size = largestSizes.get(model);
        return size == null ? newest.weightsMb() : size.weightsMb();
    }

    /** Returns the largest size that an adapter of the model may have. */
    double largestAdapterMb(String model) {
        ModelSize size = largestSizes.get(model);
        return size == null ? 0 : size.adapterMb();
    }
}
