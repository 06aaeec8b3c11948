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
    private static final int FAULT_FREE_STEPS = 800;

    @Property(seed = "21", tries = 60)
    void neverMoreReplicasThanConfiguredDespiteFaults(@ForAll long seed) {
        // Three routers plan at once and are frozen and resumed with pending proposals; agents
        // crash in the middle of loads; VMs vanish and come back, or are only missing from the
        // list; the store goes down and loses answers; reports are old; engines obey any order.
        // After each step no model is held by more engines than configured, and no engine holds too
        // much.
        PlacementSimulation simulation =
                new PlacementSimulation(seed, PlacementPolicy.CONFIRMED_GRANTS);
        simulation.run(STEPS);
        assertEquals(List.of(), simulation.violations);
        assertTrue(simulation.served > 0);
    }

    @Property(seed = "22", tries = 20)
    void everyModelHasAllItsGrantsAgainAfterTheFaults(@ForAll long seed) {
        // Guards against a planner that is safe only because it never moves a grant: a model whose
        // VM is gone would be refused forever. Once the faults end, all grants are on VMs that can
        // use them.
        PlacementSimulation simulation =
                new PlacementSimulation(seed, PlacementPolicy.CONFIRMED_GRANTS);
        simulation.run(STEPS / 3);
        simulation.runWithoutFaults(FAULT_FREE_STEPS);
        PlacementTable table = simulation.store.read().toCompletableFuture().join();
        for (Model model : simulation.models.values()) {
            int holders = table.usableHolders().get(model.name()).size();
            assertEquals(model.maxReplicas(), holders, model.name().value());
        }
        assertTrue(table.allGrants().noneMatch(grant -> grant.releasing() || grant.suspected()));
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void routersThatChooseByTheirOwnViewLoadTooManyReplicas() {
        // Each router takes the first of the VMs that it sees, and agents load whatever they are
        // asked for. Two views of the list are enough for a second copy.
        assertEquals(SEEDS, countBrokenSimulations(PlacementPolicy.OWN_VIEW));
    }

    @Test
    void aGrantRevokedOnATimeoutAloneIsUsedByTwoVms() {
        // The list omits a VM that is running but can't reach the store. Its grant is given to
        // another VM, which loads the model while the first one still holds it.
        assertTrue(countBrokenSimulations(PlacementPolicy.TIMEOUT_ONLY) > 0);
    }

    @Test
    void aGrantReleasedBeforeTheEngineUnloadedIsUsedByTwoVms() {
        // The VM is leaving. Its agent confirms the release at once, and the new holder loads the
        // model before the old engine unloads it, since an answer is still streaming there.
        assertTrue(countBrokenSimulations(PlacementPolicy.UNCHECKED_RELEASE) > 0);
    }

    private static int countBrokenSimulations(PlacementPolicy policy) {
        int broken = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            PlacementSimulation simulation = new PlacementSimulation(seed, policy);
            simulation.run(STEPS);
            broken += simulation.violations.isEmpty() ? 0 : 1;
        }
        return broken;
    }
}
