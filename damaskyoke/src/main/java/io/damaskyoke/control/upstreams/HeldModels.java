package io.damaskyoke.control.upstreams;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The models and adapters that an upstream holds ready to serve, at one moment of one incarnation.
 *
 * @param startedAt start of the upstream's incarnation, in Unix milliseconds
 * @param sequence number of orders that this incarnation has accepted; {@link #UNKNOWN_SEQUENCE}
 *     where the source does not give it
 * @param adapters names of the adapters of each model that it holds
 */
public record HeldModels(long startedAt, long sequence, Map<String, Set<String>> adapters) {
    /** Sequence of the platform's list, which does not count orders. */
    public static final long UNKNOWN_SEQUENCE = -1;

    /** Start of an incarnation whose source does not give it. */
    public static final long UNKNOWN_START = 0;

    /** Copies the given adapters. */
    public HeldModels {
        Map<String, Set<String>> copy = new TreeMap<>();
        adapters.forEach((model, names) -> copy.put(model, Set.copyOf(names)));
        adapters = copy;
    }

    /** Returns an empty set for this incarnation. */
    public static HeldModels none(long startedAt) {
        return new HeldModels(startedAt, 0, Map.of());
    }

    /** Returns true if a request for the model or adapter can run. */
    public boolean contains(ModelRef ref) {
        Set<String> names = adapters.get(ref.model());
        return names != null && (!ref.hasAdapter() || names.contains(ref.adapter()));
    }

    /** Returns a copy with one more model or adapter, after the order that loaded it. */
    public HeldModels with(ModelRef loaded, long newSequence) {
        Map<String, Set<String>> next = new TreeMap<>(adapters);
        Set<String> names = new HashSet<>(next.getOrDefault(loaded.model(), Set.of()));
        if (loaded.hasAdapter()) {
            names.add(loaded.adapter());
        }
        next.put(loaded.model(), names);
        return new HeldModels(startedAt, newSequence, next);
    }

    /** Returns a copy without this model or adapter, after the order that unloaded it. */
    public HeldModels without(ModelRef unloaded, long newSequence) {
        Map<String, Set<String>> next = new TreeMap<>(adapters);
        if (!unloaded.hasAdapter()) {
            next.remove(unloaded.model());
        } else if (next.containsKey(unloaded.model())) {
            Set<String> names = new HashSet<>(next.get(unloaded.model()));
            names.remove(unloaded.adapter());
            next.put(unloaded.model(), names);
        }
        return new HeldModels(startedAt, newSequence, next);
    }

    /** Returns the number of adapters over all models. */
    public int adapterCount() {
        return adapters.values().stream().mapToInt(Set::size).sum();
    }
}
