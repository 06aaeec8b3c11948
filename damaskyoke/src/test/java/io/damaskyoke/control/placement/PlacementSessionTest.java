package io.damaskyoke.control.placement;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class PlacementSessionTest {
    private static final PoolName POOL = PoolName.of("p");
    private static final VmId ONE = VmId.of("one");
    private static final VmId TWO = VmId.of("two");
    private static final VmId THREE = VmId.of("three");

    private final PlacementPlanner planner =
            new PlacementPlanner(Duration.ofSeconds(30), Duration.ofSeconds(15));
    private final LeaseMachine lease = new LeaseMachine(Duration.ofSeconds(10));
    private final Map<ModelName, Model> models = new TreeMap<>();
    private final Map<Integer, PlacementTable.Stored> stored = new HashMap<>();
    private final StringBuilder lines = new StringBuilder();
    private Instant now = Instant.EPOCH;
    private long revision = 1;

    @Test
    void aWholeSession() {
        say("A router acquires the lease and creates the first grants, in both zones");
        lease(0, new LeaseInput.Tick());
        lease(0, new LeaseInput.Granted(7));
        lease(0, new LeaseInput.Acquired(true));
        model("edges", 2, null);
        model("edges-oak", 1, "edges");
        plan(0, Set.of(ONE, TWO, THREE), Set.of(), Set.of());
        say("An operator lowers the limit: surplus grants are marked releasing, not removed");
        model("edges", 1, null);
        plan(5, Set.of(ONE, TWO, THREE), Set.of(), Set.of());
        say("One VM is leaving: nothing is granted again before its holder has released it");
        plan(5, Set.of(ONE, TWO, THREE), Set.of(ONE), Set.of());
        release(ONE);
        release(TWO);
        plan(1, Set.of(ONE, TWO, THREE), Set.of(ONE), Set.of());
        say("The new holder is missing from the list but still sends messages: nothing changes");
        plan(1, Set.of(ONE, TWO), Set.of(), Set.of(TWO, THREE));
        plan(60, Set.of(ONE, TWO), Set.of(), Set.of(TWO, THREE));
        say(
                "It is silent: suspected after 30 s, revoked after another 15 s, granted to another"
                        + " VM");
        plan(1, Set.of(ONE, TWO), Set.of(), Set.of());
        plan(30, Set.of(ONE, TWO), Set.of(), Set.of());
        plan(1, Set.of(ONE, TWO), Set.of(), Set.of());
        plan(15, Set.of(ONE, TWO), Set.of(), Set.of());
        say(
                "The store does not answer, and the router sees by its own clock that its lease"
                        + " expired");
        lease(0, new LeaseInput.Tick());
        Approvals.verify(lines);
    }

    private void say(String what) {
        lines.append("\n# ").append(what).append('\n');
    }

    private void lease(long seconds, LeaseInput input) {
        now = now.plusSeconds(seconds);
        lines.append(now.getEpochSecond()).append("s ").append(input).append('\n');
        lease.on(input, now).forEach(action -> lines.append("    ").append(action).append('\n'));
    }

    private void plan(long seconds, Set<VmId> listed, Set<VmId> leaving, Set<VmId> recentlyHeard) {
        now = now.plusSeconds(seconds);
        List<PlacementPlanner.Candidate> candidates =
                listed.stream()
                        .sorted(Comparator.comparing(VmId::value))
                        .map(vm -> candidate(vm, leaving.contains(vm)))
                        .toList();
        PlacementPlanner.View view =
                new PlacementPlanner.View(
                        new PlacementTable(revision, stored),
                        models,
                        candidates,
                        listed,
                        recentlyHeard);
        lines.append(now.getEpochSecond()).append("s planned\n");
        for (PlacementPlanner.Proposal proposal : planner.on(view, now)) {
            stored.put(proposal.shard(), new PlacementTable.Stored(proposal.value(), ++revision));
            lines.append("    ").append(proposal.value()).append('\n');
        }
    }

    private void release(VmId vm) {
        stored.replaceAll(
                (number, before) ->
                        new PlacementTable.Stored(
                                before.shard()
                                        .without(
                                                grant ->
                                                        grant.vm().equals(vm) && grant.releasing()),
                                ++revision));
        lines.append(now.getEpochSecond()).append("s ").append(vm).append(" releases its grants\n");
    }

    private static PlacementPlanner.Candidate candidate(VmId vm, boolean leaving) {
        String zone = vm.equals(TWO) ? "b" : "a";
        return new PlacementPlanner.Candidate(vm, POOL, AvailabilityZone.of(zone), leaving);
    }

    private void model(String name, int maxReplicas, String base) {
        ModelName id = ModelName.of(name);
        Optional<ModelName> on = Optional.ofNullable(base).map(ModelName::of);
        models.put(id, new Model(id, "v1", POOL, on, 10, maxReplicas, Set.of()));
    }
}
