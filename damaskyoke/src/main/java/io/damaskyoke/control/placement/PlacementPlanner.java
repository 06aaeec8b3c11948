package io.damaskyoke.control.placement;

import io.damaskyoke.control.Machine;
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
        implements Machine<PlacementPlanner.View, PlacementPlanner.Proposal> {
    private final Duration goneAfter;
    private final Duration suspectTime;
    private final Map<VmId, Instant> absentSince = new HashMap<>();
    private final Map<Mark, Instant> suspectedSince = new HashMap<>();

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
     * @param heard the VMs that this router has received messages from recently
     */
    public record View(
            PlacementTable table,
            Map<ModelName, Model> models,
            List<Candidate> candidates,
            Set<VmId> listed,
            Set<VmId> heard) {}

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
        noteAbsent(view, now);
        noteSuspected(view, now);
        Loads loads = new Loads(view);
        Map<Integer, List<Model>> families = families(view.models());
        Set<Integer> numbers = new HashSet<>(families.keySet());
        numbers.addAll(view.table().shards().keySet());
        List<Proposal> proposals = new ArrayList<>();
        for (int number : numbers.stream().sorted().toList()) {
            PlacementTable.Stored stored = view.table().shard(number);
            Shard cleared = clear(stored, view, now);
            Shard planned =
                    new Grants(cleared, view, loads, now)
                            .with(families.getOrDefault(number, List.of()));
            if (!planned.equals(stored.shard())) {
                proposals.add(new Proposal(number, stored.shard(), planned, stored.modRevision()));
            }
        }
        return proposals;
    }

    private static Map<Integer, List<Model>> families(Map<ModelName, Model> models) {
        Map<Integer, List<Model>> families = new TreeMap<>();
        models.values().stream()
                .sorted(
                        Comparator.comparing((Model model) -> model.base().isPresent())
                                .thenComparing(model -> model.name().value()))
                .forEach(
                        model ->
                                families.computeIfAbsent(
                                                Shard.numberOf(model.base().orElse(model.name())),
                                                number -> new ArrayList<>())
                                        .add(model));
        return families;
    }

    private void noteAbsent(View view, Instant now) {
        Set<VmId> holders = new HashSet<>();
        view.table().allGrants().forEach(right -> holders.add(right.vm()));
        Set<VmId> absent = new HashSet<>(holders);
        absent.removeAll(view.listed());
        // A truncated platform list makes most of the fleet look gone. All grants would move at
        // once while the VMs still hold their replicas, so the list is ignored if more than half of
        // the holders are missing. Half of the holders is more than one availability zone, so the
        // real losses that are expected stay below it.
        if (absent.size() > 1 && absent.size() * 2 > holders.size()) {
            absent.clear();
        }
        absent.removeAll(view.heard());
        absent.removeAll(clearedByOthers(view));
        absentSince.keySet().retainAll(absent);
        absent.forEach(vm -> absentSince.putIfAbsent(vm, now));
    }

    private Set<VmId> clearedByOthers(View view) {
        Set<Long> mine = new HashSet<>();
        suspectedSince.keySet().forEach(mark -> mine.add(mark.fencing()));
        Set<VmId> cleared = new HashSet<>();
        view.table()
                .allGrants()
                .filter(right -> !right.suspected() && mine.contains(right.fencing()))
                .forEach(right -> cleared.add(right.vm()));
        return cleared;
    }

    // The period starts again whenever the shard was written. Otherwise a suspicion that was
    // cleared and raised again between two reads would seem to have been visible all the time.
    private void noteSuspected(View view, Instant now) {
        Set<Mark> suspected = new HashSet<>();
        for (PlacementTable.Stored stored : view.table().shards().values()) {
            stored.shard().grants().stream()
                    .filter(ReplicaGrant::suspected)
                    .forEach(right -> suspected.add(new Mark(right.fencing(), stored)));
        }
        suspectedSince.keySet().retainAll(suspected);
        suspected.forEach(mark -> suspectedSince.putIfAbsent(mark, now));
    }

    private Shard clear(PlacementTable.Stored stored, View view, Instant now) {
        return stored.shard()
                .without(right -> isTaken(right, stored, now))
                .map(right -> right.withSuspected(isGone(right.vm(), now)))
                .map(right -> mustGo(right, view) ? right.withReleasing() : right);
    }

    // A grant is revoked only after every process has had time to see the suspicion and to clear
    // it. A timeout alone would revoke the grant of a VM that is merely slow, and two VMs would
    // hold the model.
    private boolean isTaken(ReplicaGrant right, PlacementTable.Stored stored, Instant now) {
        Instant since = suspectedSince.get(new Mark(right.fencing(), stored));
        return right.suspected()
                && isGone(right.vm(), now)
                && since != null
                && !now.isBefore(since.plus(suspectTime));
    }

    private boolean isGone(VmId vm, Instant now) {
        Instant since = absentSince.get(vm);
        return since != null && !now.isBefore(since.plus(goneAfter));
    }

    // A VM without a visible registration keeps its grants: a missing registration proves nothing.
    private static boolean mustGo(ReplicaGrant right, View view) {
        Model model = view.models().get(right.model());
        return model == null
                || view.candidates().stream()
                        .filter(candidate -> candidate.vm().equals(right.vm()))
                        .anyMatch(
                                candidate ->
                                        candidate.leaving()
                                                || !candidate.pool().equals(model.pool()));
    }

    /** A suspicion of one grant, as it stood at one revision of its shard. */
    private record Mark(long fencing, long modRevision) {
        Mark(long fencing, PlacementTable.Stored stored) {
            this(fencing, stored.modRevision());
        }
    }

    /** Counts how many bytes each VM may have to hold for its grants. */
    private static final class Loads {
        private final Map<VmId, Long> bytes = new HashMap<>();

        Loads(View view) {
            view.table()
                    .allGrants()
                    .forEach(right -> add(right.vm(), view.models().get(right.model())));
        }

        void add(VmId vm, Model model) {
            bytes.merge(vm, model == null ? 0 : model.memoryBytes(), Long::sum);
        }

        long of(VmId vm) {
            return bytes.getOrDefault(vm, 0L);
        }
    }

    /** Adapts the grants of one shard to the configuration. */
    private static final class Grants {
        private final View view;
        private final Loads loads;
        private final Instant now;
        private final List<ReplicaGrant> rights;
        private long lastFencing;

        Grants(Shard shard, View view, Loads loads, Instant now) {
            this.view = view;
            this.loads = loads;
            this.now = now;
            this.rights = new ArrayList<>(shard.grants());
            this.lastFencing = shard.lastFencing();
        }

        Shard with(List<Model> models) {
            for (Model model : models) {
                releaseSurplus(model);
                grant(model);
            }
            return new Shard(lastFencing, rights);
        }

        private void releaseSurplus(Model model) {
            List<ReplicaGrant> usable = usable(model.name());
            for (int i = 0; i < usable.size(); i++) {
                ReplicaGrant right = usable.get(i);
                boolean baseGone =
                        model.base().isPresent()
                                && usable(model.base().get()).stream()
                                        .noneMatch(base -> base.vm().equals(right.vm()));
                if (i >= model.maxReplicas() || baseGone) {
                    rights.set(rights.indexOf(right), right.withReleasing());
                }
            }
        }

        private void grant(Model model) {
            long held = of(model.name()).size();
            while (held < model.maxReplicas()) {
                List<Candidate> choice = choice(model);
                if (choice.isEmpty()) {
                    return;
                }
                VmId vm = choice.get(0).vm();
                lastFencing = Math.max(lastFencing + 1, now.toEpochMilli());
                rights.add(ReplicaGrant.of(model.name(), vm, lastFencing));
                loads.add(vm, model);
                held++;
            }
        }

        private List<Candidate> choice(Model model) {
            return view.candidates().stream()
                    .filter(candidate -> !candidate.leaving())
                    .filter(candidate -> candidate.pool().equals(model.pool()))
                    .filter(candidate -> of(model.name()).stream().noneMatch(at(candidate.vm())))
                    .filter(candidate -> hasBase(model, candidate.vm()))
                    .sorted(
                            Comparator.comparingLong(
                                            (Candidate candidate) -> inZone(model, candidate))
                                    .thenComparingLong(candidate -> loads.of(candidate.vm()))
                                    .thenComparing(candidate -> candidate.vm().value()))
                    .toList();
        }

        private boolean hasBase(Model model, VmId vm) {
            return model.base().map(base -> usable(base).stream().anyMatch(at(vm))).orElse(true);
        }

        private long inZone(Model model, Candidate candidate) {
            return view.candidates().stream()
                    .filter(other -> other.zone().equals(candidate.zone()))
                    .filter(other -> of(model.name()).stream().anyMatch(at(other.vm())))
                    .count();
        }

        private static Predicate<ReplicaGrant> at(VmId vm) {
            return right -> right.vm().equals(vm);
        }

        private List<ReplicaGrant> of(ModelName model) {
            return rights.stream().filter(right -> right.model().equals(model)).toList();
        }

        private List<ReplicaGrant> usable(ModelName model) {
            return of(model).stream().filter(ReplicaGrant::usable).toList();
        }
    }
}
