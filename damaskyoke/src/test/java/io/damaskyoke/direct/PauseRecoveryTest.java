package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how an upstream is used again after its pauses, by few routers and by many. */
class PauseRecoveryTest {
    private static final int SECONDS = 60;
    private static final int SEEDS = 3;

    // Guards against routers that all send what waits at the end of a pause, so that the upstream
    // asks for the next one, and against a careful return that serves fewer requests.
    @ParameterizedTest
    @ValueSource(ints = {6, 27})
    void aGradualReturnServesMoreAndIsRejectedLess(int routers) {
        List<PauseRecoverySimulation> atOnce = played(routers, false);
        List<PauseRecoverySimulation> gradual = played(routers, true);
        double rejectedAtOnce = mean(atOnce, PauseRecoverySimulation::rejectedPerThousand);
        double rejected = mean(gradual, PauseRecoverySimulation::rejectedPerThousand);
        assertTrue(rejected < rejectedAtOnce / 2, rejected + " and at once " + rejectedAtOnce);
        double servedAtOnce = mean(atOnce, PauseRecoverySimulation::servedShare);
        double served = mean(gradual, PauseRecoverySimulation::servedShare);
        assertTrue(served >= servedAtOnce, served + " and at once " + servedAtOnce);
    }

    private static List<PauseRecoverySimulation> played(int routers, boolean gradual) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new PauseRecoverySimulation(routers, seed, gradual).play(SECONDS))
                .toList();
    }

    private static double mean(
            List<PauseRecoverySimulation> all, ToDoubleFunction<PauseRecoverySimulation> figure) {
        return all.stream().mapToDouble(figure).average().orElseThrow();
    }
}
