package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.replicas.Replica.Phase;
import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the replicas to evict: those whose next cold start costs least for the memory that they
 * free.
 */
final class EvictionPolicy {
    private final ReplicaTable table;
    private final LoadCosts costs;

    EvictionPolicy(ReplicaTable table, LoadCosts costs) {
        this.table = table;
        this.costs = costs;
    }

    /**
     * Returns the cheapest replicas that together free this much memory; empty if all together do
     * not. A base comes after its adapters, since the engine can't keep an adapter without it.
     *
     * @param bytes the memory to free, in bytes
     * @param needed the models that requests are queued for, and their bases
     * @param maxCost only replicas whose cost per byte is lower than this are chosen
     */
    Optional<List<Replica>> chooseToFree(
            long bytes,
            Set<ModelName> needed,
            Map<ModelName, Model> models,
            double maxCost,
            Instant now) {
        List<Replica> chosen = new ArrayList<>();
        long freed = 0;
        while (freed < bytes) {
            Optional<Replica> next =
                    table.all().stream()
                            .filter(replica -> !chosen.contains(replica))
                            .filter(replica -> isEvictable(replica, needed))
                            .filter(replica -> areAdaptersChosen(replica, chosen))
                            .filter(replica -> cost(replica, models, now) < maxCost)
                            .min(Comparator.comparingDouble(r -> cost(r, models, now)));
            if (next.isEmpty()) {
                return Optional.empty();
            }
            chosen.add(next.get());
            freed += next.get().bytes;
        }
        return Optional.of(withoutSuperfluous(chosen, freed - bytes));
    }

    /**
     * Removes the most expensive replicas that became unnecessary when the last, large one was
     * chosen.
     */
    private List<Replica> withoutSuperfluous(List<Replica> chosen, long excess) {
        List<Replica> kept = new ArrayList<>(chosen);
        long left = excess;
        for (int i = chosen.size() - 1; i >= 0; i--) {
            Replica replica = chosen.get(i);
            boolean baseChosen = replica.base.isPresent() && contains(chosen, replica.base.get());
            if (replica.bytes <= left && !baseChosen) {
                kept.remove(replica);
                left -= replica.bytes;
            }
        }
        return kept;
    }

    private boolean areAdaptersChosen(Replica base, List<Replica> chosen) {
        return table.all().stream()
                .filter(replica -> replica.base.equals(Optional.of(base.name)))
                .allMatch(chosen::contains);
    }

    private double cost(Replica replica, Map<ModelName, Model> models, Instant now) {
        Model model = models.get(replica.name);
        return model == null ? 0 : costs.coldStartSecondsPerByte(model, replica.bytes, now);
    }

    private static boolean isEvictable(Replica replica, Set<ModelName> needed) {
        return replica.phase == Phase.LOADED && replica.uses == 0 && !needed.contains(replica.name);
    }

    private static boolean contains(List<Replica> replicas, ModelName name) {
        return replicas.stream().anyMatch(replica -> replica.name.equals(name));
    }
}
