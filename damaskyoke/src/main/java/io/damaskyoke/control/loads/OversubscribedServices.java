package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Finds the services whose configuration names more models than their listed engines have room for,
 * so that models are loaded in rotation.
 */
final class OversubscribedServices {
    private final Set<String> names = new HashSet<>();

    /** Finds the services anew, after a change of the configuration or of the engines. */
    void update(Map<String, EngineSpec> specs, Collection<EngineState> engines) {
        names.clear();
        specs.forEach(
                (service, spec) -> {
                    long listed =
                            engines.stream()
                                    .filter(each -> each.facts().service().equals(service))
                                    .count();
                    if (spec.models().size() > listed * modelsPerEngine(spec)) {
                        names.add(service);
                    }
                });
    }

    /** Returns true if the service has more models than room. */
    boolean contains(String service) {
        return names.contains(service);
    }

    private static int modelsPerEngine(EngineSpec spec) {
        double meanMb =
                spec.models().values().stream()
                        .mapToDouble(ModelSpec::weightsMb)
                        .average()
                        .orElse(spec.weightsMb());
        return (int) (spec.weightsMb() / meanMb);
    }
}
