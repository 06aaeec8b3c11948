package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The model services: what the newest configuration says of them, and what is kept of earlier ones.
 */
final class ConfiguredServices {
    private final Map<String, KnownModels> models = new HashMap<>();
    private final Map<String, MemoryFragmentation> fragmentation = new HashMap<>();
    private Map<String, Map<String, ModelSize>> recordedSizes = Map.of();
    private Map<String, EngineSpec> specs = Map.of();

    /** Replaces the configuration. */
    void configure(Map<String, EngineSpec> newest) {
        specs = new HashMap<>(newest);
        fragmentation.clear();
        newest.forEach(
                (service, spec) -> {
                    fragmentation.put(service, MemoryFragmentation.of(spec));
                    models.computeIfAbsent(service, any -> new KnownModels(spec)).configured(spec);
                });
        takeRecordedSizes();
    }

    /** Takes in sizes that earlier configurations stated, by service and model. */
    void recorded(Map<String, Map<String, ModelSize>> sizes) {
        recordedSizes = sizes;
        takeRecordedSizes();
    }

    private void takeRecordedSizes() {
        recordedSizes.forEach(
                (service, sizes) ->
                        Optional.ofNullable(models.get(service))
                                .ifPresent(known -> known.recorded(sizes)));
    }

    /** Returns the services of the newest configuration by name. */
    Map<String, EngineSpec> specs() {
        return specs;
    }

    /** Returns the models of a service; empty if the newest configuration has no such service. */
    Optional<KnownModels> modelsOf(String service) {
        return specs.containsKey(service) ? Optional.of(models.get(service)) : Optional.empty();
    }

    /** Returns the fragmentation of memory at engines of a service of the newest configuration. */
    MemoryFragmentation fragmentation(String service) {
        return fragmentation.get(service);
    }

    /** Returns the fragmentation of memory at engines like this one. */
    MemoryFragmentation fragmentation(EngineState engine) {
        return fragmentation.computeIfAbsent(
                engine.facts().service(), any -> MemoryFragmentation.of(engine.spec()));
    }

    /** Returns the size of each model, by name; the larger one if two services have it. */
    Map<String, Double> modelSizes() {
        Map<String, Double> sizes = new HashMap<>();
        for (EngineSpec spec : specs.values()) {
            spec.models().forEach((name, model) -> sizes.merge(name, model.weightsMb(), Math::max));
        }
        return sizes;
    }

    /** Returns the largest size that any configuration has stated, by service and model. */
    Map<String, Map<String, ModelSize>> largestSizes() {
        Map<String, Map<String, ModelSize>> sizes = new TreeMap<>();
        models.forEach((service, known) -> sizes.put(service, known.largestSizes()));
        return sizes;
    }
}
