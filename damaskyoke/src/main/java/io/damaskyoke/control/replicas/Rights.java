package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.util.Collections;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The models that this VM may hold, with the fencing tokens for its orders.
 *
 * @param everything the fencing token for any model not in {@code granted}; empty if only those in
 *     {@code granted} may be held
 * @param granted the fencing token of each grant
 */
public record Rights(OptionalLong everything, Map<ModelName, Long> granted) {
    /** Copies the map, ordered by name, so that sessions print the same on each run. */
    public Rights {
        granted = Collections.unmodifiableSortedMap(new TreeMap<>(granted));
    }

    /**
     * Returns grants for any model.
     *
     * @param fencing the fencing token; must be higher than that of earlier processes
     */
    public static Rights all(long fencing) {
        return new Rights(OptionalLong.of(fencing), Map.of());
    }

    /** Returns grants for these models only. */
    public static Rights of(Map<ModelName, Long> granted) {
        return new Rights(OptionalLong.empty(), granted);
    }

    /** Returns true if the model may be held. */
    public boolean hold(ModelName model) {
        return everything.isPresent() || granted.containsKey(model);
    }

    /** Returns the fencing token for orders about the model; empty if it may not be held. */
    public OptionalLong fencing(ModelName model) {
        Long own = granted.get(model);
        return own == null ? everything : OptionalLong.of(own);
    }
}
