package io.damaskyoke.control.upstreams;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What an upstream holds ready, as of one moment of one of its lives.
 *
 * @param startedAt Unix milliseconds of the upstream's start: which life of it this is of
 * @param sequence orders that it has accepted in this life; {@link #UNCOUNTED} where its source
 *     doesn't say
 * @param adapters those of each model that it holds
 */
public record HeldModels(long startedAt, long sequence, Map<String, Set<String>> adapters) {
    /** The platform's list doesn't count orders. */
    public static final long UNCOUNTED = -1;

    /** The start of a life where its source doesn't say. */
    public static final long NO_START = 0;

    /** Copies what it is given. */
    public HeldModels {
        Map<String, Set<String>> copy = new TreeMap<>();
        adapters.forEach((model, names) -> copy.put(model, Set.copyOf(names)));
        adapters = copy;
    }

    /** Nothing, in this life. */
    public static HeldModels none(long startedAt) {
        return new HeldModels(startedAt, 0, Map.of());
    }

    /** True if a request for it can run. */
    public boolean has(ModelRef wanted) {
        Set<String> names = adapters.get(wanted.model());
        return names != null && (!wanted.adapted() || names.contains(wanted.adapter()));
    }

    /** The same with one more order, which brought this. */
    public HeldModels with(ModelRef loaded, long newSequence) {
        Map<String, Set<String>> next = new TreeMap<>(adapters);
        Set<String> names = new HashSet<>(next.getOrDefault(loaded.model(), Set.of()));
        if (loaded.adapted()) {
            names.add(loaded.adapter());
        }
        next.put(loaded.model(), names);
        return new HeldModels(startedAt, newSequence, next);
    }

    /** The same with one more order, which took this away. */
    public HeldModels without(ModelRef unloaded, long newSequence) {
        Map<String, Set<String>> next = new TreeMap<>(adapters);
        if (!unloaded.adapted()) {
            next.remove(unloaded.model());
        } else if (next.containsKey(unloaded.model())) {
            Set<String> names = new HashSet<>(next.get(unloaded.model()));
            names.remove(unloaded.adapter());
            next.put(unloaded.model(), names);
        }
        return new HeldModels(startedAt, newSequence, next);
    }

    /** How many adapters there are over all models. */
    public int adapterCount() {
        return adapters.values().stream().mapToInt(Set::size).sum();
    }
}
