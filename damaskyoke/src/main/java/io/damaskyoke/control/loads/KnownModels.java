package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.time.Duration;
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
    /** Time to load an adapter from the store: 5 ms for the smallest, 9.7 ms for the largest. */
    private static final double ADAPTER_BASE_MILLIS = 4;

    private static final double ADAPTER_MILLIS_PER_MB = 0.09;

    /**
     * Added to the expected load time of an adapter, so that a request does not arrive before the
     * adapter is ready.
     */
    private static final double ADAPTER_MARGIN_MILLIS = 5;

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

    /** Returns the expected time to load an adapter of the model, with a margin. */
    Duration adapterLoadTime(String model) {
        double millis =
                ADAPTER_BASE_MILLIS
                        + largestAdapterMb(model) * ADAPTER_MILLIS_PER_MB
                        + ADAPTER_MARGIN_MILLIS;
        return Duration.ofNanos((long) (millis * 1e6));
    }
}
