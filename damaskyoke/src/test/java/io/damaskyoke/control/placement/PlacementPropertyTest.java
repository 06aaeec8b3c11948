package io.damaskyoke.control.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.configuration.Model;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PlacementPropertyTest {
    private static final int STEPS = 3_000;
    private static final int SEEDS = 20;
    private static final int CALM = 800;

    @Property(seed = "21", tries = 60)
    void noMoreReplicasThanDecidedThroughEveryFault(@ForAll long seed) {
        // Three routers plan at once and are frozen and resumed with pending proposals; agents
        // crash in the middle of loads; VMs vanish and come back, or are only missing from the
        // list; the store goes down and loses answers; reports are old; engines obey any order.
        // After each step no model is held by more engines than configured, and no engine holds too
        // much.
        PlacementSimulation world = new PlacementSimulation(seed, PlacementPolicy.OURS);
        world.run(STEPS);
        assertEquals(List.of(), world.broken);
        assertTrue(world.served > 0);
    }

    @Property(seed = "22", tries = 20)
    void afterTheFaultsEveryModelHasItsRightsAgain(@ForAll long seed) {
        // Guards against a planner that is safe only because it never moves a grant: a model whose
        // VM is gone would be refused forever. Once the faults end, all grants are on VMs that can
        // use them.
        PlacementSimulation world = new PlacementSimulation(seed, PlacementPolicy.OURS);
        world.run(STEPS / 3);
        world.runWithoutFaults(CALM);
        PlacementTable table = world.store.read().toCompletableFuture().join();
        for (Model model : world.models.values()) {
            int holders = table.usableHolders().get(model.name()).size();
            assertEquals(model.maxReplicas(), holders, model.name().value());
        }
        assertTrue(table.allGrants().noneMatch(right -> right.releasing() || right.suspected()));
        assertEquals(List.of(), world.broken);
    }

    @Test
    void routersThatChooseByTheirOwnViewLoadTooMany() {
        // Each router takes the first of the VMs that it sees, and agents load whatever they are
        // asked for. Two views of the list are enough for a second copy.
        assertEquals(SEEDS, brokenWorlds(PlacementPolicy.OWN_VIEW));
    }

    @Test
    void aRightTakenOnATimeoutAloneIsUsedByTwo() {
        // The list omits a VM that is running but can't reach the store. Its grant is given to
        // another VM, which loads the model while the first one still holds it.
        assertTrue(brokenWorlds(PlacementPolicy.TIMEOUT_ONLY) > 0);
    }

    @Test
    void aRightHandedBackBeforeTheEngineIsClearIsUsedByTwo() {
        // The VM is leaving. Its agent confirms the release at once, and the new holder loads the
        // model before the old engine unloads it, since an answer is still streaming there.
        assertTrue(brokenWorlds(PlacementPolicy.BLIND_RELEASE) > 0);
    }

    private static int brokenWorlds(PlacementPolicy policy) {
        int broken = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            PlacementSimulation world = new PlacementSimulation(seed, policy);
            world.run(STEPS);
            broken += world.broken.isEmpty() ? 0 : 1;
        }
        return broken;
    }
}
