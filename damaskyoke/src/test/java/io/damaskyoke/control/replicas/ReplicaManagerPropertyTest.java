package io.damaskyoke.control.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ReplicaManagerPropertyTest {
    private static final int STEPS = 1_000;
    private static final long TIGHT = 100;
    private static final long AMPLE = 1_000;

    @Property(seed = "11", tries = 200)
    void allRulesHoldDespiteCrashesLostAnswersAndWrongReports(@ForAll long seed) {
        // Orders fail, or take effect and lose their answer; reports are old and understate the
        // use; the agent crashes at any moment, with loads in progress; versions change. Even so,
        // memory is never exceeded, no model is loaded twice, nothing in use is unloaded, requests
        // run on the configured version, and each request is answered once and in time.
        EngineSimulation simulation =
                new EngineSimulation(
                        seed, true, TIGHT, () -> new ReplicaManager(EngineSimulation.SETTINGS));
        simulation.run(STEPS);
        assertEquals(List.of(), simulation.violations);
        assertFalse(simulation.served.isEmpty());
    }

    @Property(seed = "12", tries = 50)
    void withAmpleMemoryItServesTheSameRequestsAsTheNaiveManager(@ForAll long seed) {
        EngineSimulation careful =
                new EngineSimulation(
                        seed, false, AMPLE, () -> new ReplicaManager(EngineSimulation.SETTINGS));
        EngineSimulation naive = new EngineSimulation(seed, false, AMPLE, NaiveReplicaManager::new);
        careful.run(STEPS);
        naive.run(STEPS);
        assertEquals(List.of(), careful.violations);
        assertEquals(List.of(), naive.violations);
        assertEquals(naive.served, careful.served);
        assertTrue(careful.served.size() > 200);
    }

    @Property(seed = "13", tries = 20)
    void withTightMemoryTheNaiveManagerOvercommitsAndThisOneServesAll(@ForAll long seed) {
        EngineSimulation careful =
                new EngineSimulation(
                        seed, false, TIGHT, () -> new ReplicaManager(EngineSimulation.SETTINGS));
        EngineSimulation naive = new EngineSimulation(seed, false, TIGHT, NaiveReplicaManager::new);
        careful.run(STEPS);
        naive.run(STEPS);
        assertEquals(List.of(), careful.violations);
        assertEquals(careful.requests, careful.served.size());
        assertFalse(naive.violations.isEmpty());
    }
}
