package io.damaskyoke.control.placement;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * All shards as they stood at one revision of the store. Immutable.
 *
 * @param revision of the read; a view is never replaced by one of a lower revision
 * @param shards by number; those missing were never written
 */
public record PlacementTable(long revision, Map<Integer, Stored> shards) {
    /** What is known before the first read. */
    public static final PlacementTable UNREAD = new PlacementTable(0, Map.of());

    /** A shard and the revision that a compare and swap of it has to name. */
    public record Stored(Shard shard, long modRevision) {}

    /** Copies the map in the order of numbers. */
    public PlacementTable {
        shards = Collections.unmodifiableSortedMap(new TreeMap<>(shards));
    }

    /** True once something was read; an empty store counts as read. */
    public boolean isRead() {
        return revision > 0;
    }

    /** The shard with this number. */
    public Stored shard(int number) {
        return shards.getOrDefault(number, new Stored(Shard.EMPTY, 0));
    }

    /** Every right of a VM. */
    public List<Right> of(VmId vm) {
        return all().filter(right -> right.vm().equals(vm)).toList();
    }

    /** The VMs whose right to each model is usable. */
    public Map<ModelName, Set<VmId>> holders() {
        Map<ModelName, Set<VmId>> holders = new HashMap<>();
        all().filter(Right::usable)
                .forEach(
                        right ->
                                holders.computeIfAbsent(right.model(), name -> new TreeSet<>())
                                        .add(right.vm()));
        return holders;
    }

    /** Every right there is. */
    public Stream<Right> all() {
        return shards.values().stream().flatMap(stored -> stored.shard().rights().stream());
    }
}
