package io.damaskyoke.lab.coldstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.lab.Deployment;
import io.damaskyoke.lab.Experiment;
import io.damaskyoke.lab.Fault;
import java.util.List;
import org.junit.jupiter.api.Test;

class ColdStartsTest {
    private static final long SEED = 3;

    @Test
    void theSameSeedGivesTheSameRows() {
        assertEquals(run(Fault.WORKERS_LOST), run(Fault.WORKERS_LOST));
    }

    @Test
    void theLimitsHoldUnderEveryFaultAndBreakInTheNaiveRun() {
        // Routers see the fleet at different moments, workers vanish, the weight store crawls.
        // Ours never holds more replicas than decided nor more bytes than an engine has.
        for (Fault fault : Fault.values()) {
            List<Experiment.Row> rows = run(fault);
            assertEquals(0, value(rows, "ours", "replicas above decided"), fault.label());
            assertEquals(0, value(rows, "ours", "memory overcommitted"), fault.label());
            assertTrue(value(rows, "naive", "replicas above decided") > 0, fault.label());
            assertTrue(value(rows, "naive", "memory overcommitted") > 0, fault.label());
        }
    }

    @Test
    void anotherSeedGivesOtherRows() {
        assertNotEquals(
                run(Fault.NONE), new ColdStarts().run(Deployment.MALABAR, SEED + 1, Fault.NONE));
    }

    private static List<Experiment.Row> run(Fault fault) {
        return new ColdStarts().run(Deployment.MALABAR, SEED, fault);
    }

    private static double value(List<Experiment.Row> rows, String policy, String figure) {
        return rows.stream()
                .filter(row -> row.policy().equals(policy) && row.figure().equals(figure))
                .findFirst()
                .orElseThrow()
                .value();
    }
}
