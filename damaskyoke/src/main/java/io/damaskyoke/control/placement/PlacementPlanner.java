package io.damaskyoke.control.placement;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Decides which VM is granted a replica of which model: {@code planner.on(new View(...), now)}
 * returns the shards to replace.
 *
 * <p>A grant stays where it is unless its VM leaves or is gone, or the configuration no longer
 * wants it there. A new grant goes to the VM with the fewest granted bytes in the zone that has the
 * fewest replicas of the model.
 *
 * <p>Two planners may run at once, and a planner's table may be out of date: each proposal names
 * the revision that it was computed from, and takes effect only if that revision is still stored.
 */
public final class PlacementPlanner
        implements StateMachine<PlacementPlanner.View, PlacementPlanner.Proposal> {
    private final Duration goneAfter;
    private final Duration suspectTime;
    private final Map<VmId, Instant> absentSince = new HashMap<>();
    private final Map<Suspicion, Instant> suspectedSince = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param goneAfter how long a VM must be missing from the list, and silent, before it is
     *     suspected
     * @param suspectTime how long a suspicion must be visible to all before the grant is revoked
     */
    public PlacementPlanner(Duration goneAfter, Duration suspectTime) {
        this.goneAfter = goneAfter;
        this.suspectTime = suspectTime;
    }

    /**
     * A VM that is listed and registered.
     *
     * @param leaving true if it is shutting down and must not receive new grants
     */
    public record Candidate(VmId vm, PoolName pool, AvailabilityZone zone, boolean leaving) {}

    /**
     * The inputs of one planning run.
     *
     * @param table the newest table read
     * @param models the models of the configuration in force
     * @param candidates the VMs that are listed and registered
     * @param listed every VM on the platform's list, including those that are leaving
     * @param recentlyHeard the VMs that this router has received messages from recently
     */
    public record View(
            PlacementTable table,
            Map<ModelName, Model> models,
            List<Candidate> candidates,
            Set<VmId> listed,
            Set<VmId> recentlyHeard) {}

    /**
     * A replacement of one shard.
     *
     * @param shard the shard's number
     * @param read the value that the plan was computed from
     * @param value the new value
     * @param modRevision the revision at which {@code read} must still be stored; 0 if it must be
     *     absent
     */
    public record Proposal(int shard, Shard read, Shard value, long modRevision) {}

    @Override
    public List<Proposal> on(View view, Instant now) {
        if (!view.table().isRead()) {
            return List.of();
        }
        recordAbsences(view, now);
        recordSuspicions(view, now);
        GrantedBytes grantedBytes = new GrantedBytes(view);
        Map<Integer, List<Model>> modelsByShard = modelsByShard(view.models());
        Set<Integer> numbers = new HashSet<>(modelsByShard.keySet());
        numbers.addAll(view.table().shards().keySet());
        List<Proposal> proposals = new ArrayList<>();
        for (int number : numbers.stream().sorted().toList()) {
            PlacementTable.Stored stored = view.table().shard(number);
            Shard marked = withCurrentMarks(stored, view, now);
            Shard planned =
                    new ShardPlanner(marked, view, grantedBytes, now)
                            .planFor(modelsByShard.getOrDefault(number, List.of()));
            if (!planned.equals(stored.shard())) {
                proposals.add(new Proposal(number, stored.shard(), planned, stored.modRevision()));
            }
        }
        return proposals;
    }

    private static Map<Integer, List<Model>> modelsByShard(Map<ModelName, Model> models) {
        Map<Integer, List<Model>> modelsByShard = new TreeMap<>();
        models.values().stream()
                .sorted(
                        Comparator.comparing((Model model) -> model.base().isPresent())
                                .thenComparing(model -> model.name().value()))
                .forEach(
                        model ->
                                modelsByShard
                                        .computeIfAbsent(
                                                Shard.numberOf(model.base().orElse(model.name())),
                                                number -> new ArrayList<>())
                                        .add(model));
        return modelsByShard;
    }

    private void recordAbsences(View view, Instant now) {
        Set<VmId> holders = new HashSet<>();
        view.table().allGrants().forEach(grant -> holders.add(grant.vm()));
        Set<VmId> absent = new HashSet<>(holders);
        absent.removeAll(view.listed());
        // A truncated platform list makes most of the fleet look gone. All grants would move at
        // once while the VMs still hold their replicas, so the list is ignored if more than half of
        // the holders are missing. Half of the holders is more than one availability zone, so the
        // real losses that are expected stay below it.
        if (absent.size() > 1 && absent.size() * 2 > holders.size()) {
            absent.clear();
        }
        absent.removeAll(view.recentlyHeard());
        absent.removeAll(clearedByOthers(view));
        absentSince.keySet().retainAll(absent);
        absent.forEach(vm -> absentSince.putIfAbsent(vm, now));
    }

    private Set<VmId> clearedByOthers(View view) {
        Set<Long> ownSuspicions = new HashSet<>();
        suspectedSince.keySet().forEach(suspicion -> ownSuspicions.add(suspicion.fencing()));
        Set<VmId> cleared = new HashSet<>();
        view.table()
                .allGrants()
                .filter(grant -> !grant.suspected() && ownSuspicions.contains(grant.fencing()))
                .forEach(grant -> cleared.add(grant.vm()));
        return cleared;
    }

    // The period starts again whenever the shard was written. Otherwise a suspicion that was
    // cleared and raised again between two reads would seem to have been visible all the time.
    private void recordSuspicions(View view, Instant now) {
        Set<Suspicion> suspected = new HashSet<>();
        for (PlacementTable.Stored stored : view.table().shards().values()) {
            stored.shard().grants().stream()
                    .filter(ReplicaGrant::suspected)
                    .forEach(grant -> suspected.add(new Suspicion(grant.fencing(), stored)));
        }
        suspectedSince.keySet().retainAll(suspected);
        suspected.forEach(suspicion -> suspectedSince.putIfAbsent(suspicion, now));
    }

    private Shard withCurrentMarks(PlacementTable.Stored stored, View view, Instant now) {
        return stored.shard()
                .without(grant -> isRevocable(grant, stored, now))
                .map(grant -> grant.withSuspected(isGone(grant.vm(), now)))
                .map(grant -> mustRelease(grant, view) ? grant.withReleasing() : grant);
    }

    // A grant is revoked only after every process has had time to see the suspicion and to clear
    // it. A timeout alone would revoke the grant of a VM that is merely slow, and two VMs would
    // hold the model.
    private boolean isRevocable(ReplicaGrant grant, PlacementTable.Stored stored, Instant now) {
        Instant since = suspectedSince.get(new Suspicion(grant.fencing(), stored));
        return grant.suspected()
                && isGone(grant.vm(), now)
                && since != null
                && !now.isBefore(since.plus(suspectTime));
    }

    private boolean isGone(VmId vm, Instant now) {
        Instant since = absentSince.get(vm);
        return since != null && !now.isBefore(since.plus(goneAfter));
    }

    // A VM without a visible registration keeps its grants: a missing registration proves nothing.
    private static boolean mustRelease(ReplicaGrant grant, View view) {
        Model model = view.models().get(grant.model());
        return model == null
                || view.candidates().stream()
                        .filter(candidate -> candidate.vm().equals(grant.vm()))
                        .anyMatch(
                                candidate ->
                                        candidate.leaving()
                                                || !candidate.pool().equals(model.pool()));
    }

    /** A suspicion of one grant, as it stood at one revision of its shard. */
    private record Suspicion(long fencing, long modRevision) {
        Suspicion(long fencing, PlacementTable.Stored stored) {
            this(fencing, stored.modRevision());
        }
    }

    /** Counts how many bytes each VM may have to hold for its grants. */
    private static final class GrantedBytes {
        private final Map<VmId, Long> bytes = new HashMap<>();

        GrantedBytes(View view) {
            view.table()
                    .allGrants()
                    .forEach(grant -> add(grant.vm(), view.models().get(grant.model())));
        }

        void add(VmId vm, Model model) {
            bytes.merge(vm, model == null ? 0 : model.memoryBytes(), Long::sum);
        }

        long of(VmId vm) {
            return bytes.getOrDefault(vm, 0L);
        }
    }

    /** Adapts the grants of one shard to the configuration. */
    private static final class ShardPlanner {
        private final View view;
        private final GrantedBytes grantedBytes;
        private final Instant now;
        private final List<ReplicaGrant> grants;
        private long lastFencing;

        ShardPlanner(Shard shard, View view, GrantedBytes grantedBytes, Instant now) {
            this.view = view;
            this.grantedBytes = grantedBytes;
            this.now = now;
            this.grants = new ArrayList<>(shard.grants());
            this.lastFencing = shard.lastFencing();
        }

        Shard planFor(List<Model> models) {
            for (Model model : models) {
                releaseSurplus(model);
                grant(model);
            }
            return new Shard(lastFencing, grants);
        }

        private void releaseSurplus(Model model) {
            List<ReplicaGrant> usable = usable(model.name());
            for (int i = 0; i < usable.size(); i++) {
                ReplicaGrant grant = usable.get(i);
                boolean baseMissing =
                        model.base().isPresent()
                                && usable(model.base().get()).stream()
                                        .noneMatch(base -> base.vm().equals(grant.vm()));
                if (i >= model.maxReplicas() || baseMissing) {
                    grants.set(grants.indexOf(grant), grant.withReleasing());
                }
            }
        }

        private void grant(Model model) {
            long count = grantsOf(model.name()).size();
            while (count < model.maxReplicas()) {
                List<Candidate> eligible = eligible(model);
                if (eligible.isEmpty()) {
                    return;
                }
                VmId vm = eligible.get(0).vm();
                lastFencing = Math.max(lastFencing + 1, now.toEpochMilli());
                grants.add(ReplicaGrant.of(model.name(), vm, lastFencing));
                grantedBytes.add(vm, model);
                count++;
            }
        }

        private List<Candidate> eligible(Model model) {
            return view.candidates().stream()
                    .filter(candidate -> !candidate.leaving())
                    .filter(candidate -> candidate.pool().equals(model.pool()))
                    .filter(
                            candidate ->
                                    grantsOf(model.name()).stream().noneMatch(onVm(candidate.vm())))
                    .filter(candidate -> hasBase(model, candidate.vm()))
                    .sorted(
                            Comparator.comparingLong(
                                            (Candidate candidate) ->
                                                    replicasInZone(model, candidate))
                                    .thenComparingLong(candidate -> grantedBytes.of(candidate.vm()))
                                    .thenComparing(candidate -> candidate.vm().value()))
                    .toList();
        }

        private boolean hasBase(Model model, VmId vm) {
            return model.base().map(base -> usable(base).stream().anyMatch(onVm(vm))).orElse(true);
        }

        private long replicasInZone(Model model, Candidate candidate) {
            return view.candidates().stream()
                    .filter(other -> other.zone().equals(candidate.zone()))
                    .filter(other -> grantsOf(model.name()).stream().anyMatch(onVm(other.vm())))
                    .count();
        }

        private static Predicate<ReplicaGrant> onVm(VmId vm) {
            return grant -> grant.vm().equals(vm);
        }

        private List<ReplicaGrant> grantsOf(ModelName model) {
            return grants.stream().filter(grant -> grant.model().equals(model)).toList();
        }

        private List<ReplicaGrant> usable(ModelName model) {
            return grantsOf(model).stream().filter(ReplicaGrant::usable).toList();
        }
    }
}
