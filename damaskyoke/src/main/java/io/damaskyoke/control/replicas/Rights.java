package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.util.Collections;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * What this VM may hold, with the fencing number for its orders.
 *
 * @param everything the fencing number that goes with any model not in {@code granted}, if all may
 *     be held
 * @param granted the fencing number of each right
 */
public record Rights(OptionalLong everything, Map<ModelName, Long> granted) {
    /** Copies the map in the order of names, so that a session prints the same on each run. */
    public Rights {
        granted = Collections.unmodifiableSortedMap(new TreeMap<>(granted));
    }

    /** May hold anything in its pool; the number must be higher than that of earlier processes. */
    public static Rights all(long fencing) {
        return new Rights(OptionalLong.of(fencing), Map.of());
    }

    /** May hold these only. */
    public static Rights of(Map<ModelName, Long> granted) {
        return new Rights(OptionalLong.empty(), granted);
    }

    /** True if the model may be held. */
    public boolean hold(ModelName model) {
        return everything.isPresent() || granted.containsKey(model);
    }

    /** The number for orders about the model; empty if it may not be held. */
    public OptionalLong fencing(ModelName model) {
        Long own = granted.get(model);
        return own == null ? everything : OptionalLong.of(own);
    }
}
