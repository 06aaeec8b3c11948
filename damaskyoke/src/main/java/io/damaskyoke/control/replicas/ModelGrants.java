package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.util.Collections;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The models that this VM may hold, with the fencing tokens for its orders.
 *
 * @param defaultFencing the fencing token for any model not in {@code fencingByModel}; empty if
 *     only those in {@code fencingByModel} may be held
 * @param fencingByModel the fencing token of each grant
 */
public record ModelGrants(OptionalLong defaultFencing, Map<ModelName, Long> fencingByModel) {
    /** Copies the map, ordered by name, so that sessions print the same on each run. */
    public ModelGrants {
        fencingByModel = Collections.unmodifiableSortedMap(new TreeMap<>(fencingByModel));
    }

    /**
     * Returns grants for any model.
     *
     * @param fencing the fencing token; must be higher than that of earlier processes
     */
    public static ModelGrants all(long fencing) {
        return new ModelGrants(OptionalLong.of(fencing), Map.of());
    }

    /** Returns grants for these models only. */
    public static ModelGrants of(Map<ModelName, Long> fencingByModel) {
        return new ModelGrants(OptionalLong.empty(), fencingByModel);
    }

    /** Returns true if the model may be held. */
    public boolean permits(ModelName model) {
        return defaultFencing.isPresent() || fencingByModel.containsKey(model);
    }

    /** Returns the fencing token for orders about the model; empty if it may not be held. */
    public OptionalLong fencing(ModelName model) {
        Long own = fencingByModel.get(model);
        return own == null ? defaultFencing : OptionalLong.of(own);
    }
}
