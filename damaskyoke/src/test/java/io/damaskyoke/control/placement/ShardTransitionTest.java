package io.damaskyoke.control.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ShardTransitionTest {
    private static final ModelName CUT = ModelName.of("cut");
    private static final VmId ONE = VmId.of("one");
    private static final VmId TWO = VmId.of("two");
    private static final ReplicaGrant HELD = ReplicaGrant.of(CUT, ONE, 5);
    private static final Shard READ = new Shard(5, List.of(HELD));

    @Test
    void aPlannerRevokesOnlySuspectedGrants() {
        assertTrue(plan(READ, new Shard(5, List.of())).isPresent());
        Shard suspected = new Shard(5, List.of(HELD.withSuspected(true)));
        assertEquals(Optional.empty(), plan(suspected, new Shard(5, List.of())));
    }

    @Test
    void aMovedGrantMustNotExceedTheReplicaLimit() {
        Shard moved = new Shard(6, List.of(HELD.withReleasing(), ReplicaGrant.of(CUT, TWO, 6)));
        assertTrue(plan(READ, moved).isPresent());
    }

    @Test
    void aFencingTokenIsNeverReused() {
        Shard empty = new Shard(5, List.of());
        Shard again = new Shard(5, List.of(ReplicaGrant.of(CUT, TWO, 5)));
        assertTrue(plan(empty, again).isPresent());
    }

    @Test
    void aHolderRemovesOnlyItsOwnGrantAndOnlyWhenReleasing() {
        Shard none = new Shard(5, List.of());
        Shard releasing = new Shard(5, List.of(HELD.withReleasing()));
        assertTrue(ShardTransition.findHolderViolation(READ, none, ONE).isPresent());
        assertTrue(ShardTransition.findHolderViolation(releasing, none, TWO).isPresent());
        assertEquals(Optional.empty(), ShardTransition.findHolderViolation(releasing, none, ONE));
    }

    @Test
    void aPlannerWithAnOldConfigurationChangesNothing() {
        // Guards against a router that was paused before an operator lowered the limit: when it
        // resumes, it reads the table and would grant what its old configuration allows. The log
        // has gone on, so the swap fails.
        FakeStore fake = new FakeStore();
        PlacementStore store = new PlacementStore(fake, "t");
        PlacementPlanner.Proposal grant =
                new PlacementPlanner.Proposal(
                        1, Shard.EMPTY, new Shard(1, List.of(ReplicaGrant.of(CUT, ONE, 1))), 0);
        fake.commit(
                List.of(), List.of(new Write.Put("t/config/log/0000000000000002", new byte[0], 0)));
        assertEquals(
                false, store.applyProposal(grant, configuration(1)).toCompletableFuture().join());
        assertEquals(
                true, store.applyProposal(grant, configuration(2)).toCompletableFuture().join());
    }

    @Test
    void anIllegalProposalNeverReachesTheStore() {
        PlacementStore store = new PlacementStore(new FakeStore(), "t");
        PlacementPlanner.Proposal taking = new PlacementPlanner.Proposal(1, READ, Shard.EMPTY, 3);
        assertThrows(PlacementException.class, () -> store.applyProposal(taking, configuration(1)));
    }

    @Test
    void aShardReadsBackAsWritten() {
        Shard shard = new Shard(9, List.of(HELD.withReleasing(), ReplicaGrant.of(CUT, TWO, 9)));
        assertEquals(shard, Shard.parse(shard.toJson()));
    }

    private static Optional<String> plan(Shard read, Shard proposed) {
        return ShardTransition.findPlannerViolation(read, proposed, model -> 1);
    }

    static Configuration configuration(long sequence) {
        Model cut = new Model(CUT, "v1", PoolName.of("p"), Optional.empty(), 1, 1, Set.of());
        return new Configuration(
                sequence, Map.of(), Map.of(), Map.of(CUT, cut), Map.of(), Map.of());
    }
}
