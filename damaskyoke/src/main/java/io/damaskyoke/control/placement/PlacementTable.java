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
 * An immutable view of all shards at one revision of the store.
 *
 * @param revision the store's revision at the read; a view is never replaced by one of a lower
 *     revision
 * @param shards the shards by number; a missing shard was never written
 */
public record PlacementTable(long revision, Map<Integer, Stored> shards) {
    /** The table before the first read. */
    public static final PlacementTable UNREAD = new PlacementTable(0, Map.of());

    /**
     * A shard and the store's revision that a compare-and-swap of it has to name; 0 if it was never
     * written.
     */
    public record Stored(Shard shard, long modRevision) {}

    /** Copies the map, ordered by shard number. */
    public PlacementTable {
        shards = Collections.unmodifiableSortedMap(new TreeMap<>(shards));
    }

    /** Returns true once the table has been read; an empty store counts as read. */
    public boolean isRead() {
        return revision > 0;
    }

    /** Returns the shard with this number, an empty one if it was never written. */
    public Stored shard(int number) {
        return shards.getOrDefault(number, new Stored(Shard.EMPTY, 0));
    }

    /** Returns all grants of a VM. */
    public List<ReplicaGrant> grantsOf(VmId vm) {
        return allGrants().filter(grant -> grant.vm().equals(vm)).toList();
    }

    /** Returns, for each model, the VMs that hold a usable grant for it. */
    public Map<ModelName, Set<VmId>> usableHolders() {
        Map<ModelName, Set<VmId>> holders = new HashMap<>();
        allGrants()
                .filter(ReplicaGrant::usable)
                .forEach(
                        grant ->
                                holders.computeIfAbsent(grant.model(), name -> new TreeSet<>())
                                        .add(grant.vm()));
        return holders;
    }

    /** Returns all grants. */
    public Stream<ReplicaGrant> allGrants() {
        return shards.values().stream().flatMap(stored -> stored.shard().grants().stream());
    }
}
