package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that every engine that is up gets work again after the last fault. */
class CrashingEnginesTest {
    private static final Duration START = Duration.ofSeconds(4);
    private static final Duration TROUBLE = Duration.ofSeconds(20);

    /** The longest ejection, the wait for a probe, and a load of each model of an engine. */
    private static final Duration RECOVERY = Duration.ofSeconds(10);

    private static final Duration OBSERVED = Duration.ofSeconds(5);

    // Guards against engines that crash, return empty under their names, and are never ordered to
    // load anything, as nothing is sent there that could show that they serve.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void crashedEnginesGetWorkAgain(long seed) {
        CrashingEnginesWorld world = new CrashingEnginesWorld(seed);
        world.calm(START);
        world.trouble(TROUBLE);
        assertRecovers(world);
    }

    // Guards against the same for an engine that only lost answers, and then its models.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void emptyEnginesThatFailedRequestsGetWorkAgain(long seed) {
        CrashingEnginesWorld world = new CrashingEnginesWorld(seed);
        world.calm(START);
        world.loseAnswers(TROUBLE);
        world.unloadAll();
        assertRecovers(world);
    }

    private static void assertRecovers(CrashingEnginesWorld world) {
        world.calm(RECOVERY);
        world.startCounting();
        world.calm(OBSERVED);
        assertEquals(Set.of(), world.idleEngines(), () -> "" + world.unmetDemand());
        assertEquals(Set.of(), world.unservedModels(), () -> "" + world.unmetDemand());
    }
}
