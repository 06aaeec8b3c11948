package io.damaskyoke.direct.crashes;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that a prompt part that crashes upstreams is quarantined, and that requests which share
 * other parts with the poison requests are not, under single faults and several together.
 */
class PromptPartHardshipsTest {
    private static final long SEEDS = Long.getLong("crashes.count", 10);
    private static final int ALLOWED = 3;
    private static final double SERVED_AT_LEAST = 0.5;
    private static final Duration TIME = Duration.ofSeconds(30);

    // Guards against poison requests that are not alike, so that no crash counts twice.
    @ParameterizedTest
    @CsvSource({"4, 13, 60, 2", "4, 13, 60, 6", "6, 13, 60, 6", "33, 42, 150, 2", "33, 42, 150, 6"})
    void aPoisonPartReachesFewUpstreamsAndSoundPartsAreServed(
            int routers, int workers, double perSecond, double poisonPerSecond) {
        assertHandled(routers, workers, perSecond, 0.1, poisonPerSecond);
    }

    // Guards against a fault that hides the part or puts the blame on another one.
    @ParameterizedTest
    @EnumSource(InjectedFault.class)
    void aPoisonPartIsFoundUnderEachFault(InjectedFault fault) {
        assertAll(
                () -> assertHandled(4, 13, 60, 0.1, 2, fault),
                () -> assertHandled(6, 13, 60, 0.1, 6, fault),
                () -> assertHandled(33, 42, 150, 0.3, 6, fault));
    }

    // Guards against faults that are harmless one at a time.
    @Test
    void aPoisonPartIsFoundUnderSeveralFaultsTogether() {
        assertHandled(
                6,
                13,
                60,
                0.1,
                2,
                InjectedFault.ERROR_ANSWERS,
                InjectedFault.CALLERS_LEAVE,
                InjectedFault.COPIES,
                InjectedFault.WRONG_PROBES);
    }

    // Guards against two causes whose crashes are put on one of them, or on a sound part.
    @ParameterizedTest
    @CsvSource({"4, 13, 60, 4", "6, 13, 60, 6", "33, 42, 150, 6"})
    void twoPoisonPartsAreBothFound(
            int routers, int workers, double perSecond, double poisonPerSecond) {
        LongFunction<SimulatedRequests> requests =
                seed -> new PoisonPromptParts(seed).andAnotherPart();
        assertHandled(requests, routers, workers, perSecond, 0.1, poisonPerSecond);
    }

    // Guards against a poison request that is taken for a sound part, or hides a poison part.
    @ParameterizedTest
    @CsvSource({"4, 13, 60, 4", "6, 13, 60, 6", "33, 42, 150, 6"})
    void aPoisonPartAndARepeatedPoisonRequestAreBothFound(
            int routers, int workers, double perSecond, double poisonPerSecond) {
        LongFunction<SimulatedRequests> requests =
                seed -> new PoisonPromptParts(seed).andARepeatedRequest();
        assertHandled(requests, routers, workers, perSecond, 0.1, poisonPerSecond);
    }

    private static void assertHandled(
            int routers,
            int workers,
            double perSecond,
            double crashesPerSecond,
            double poisonPerSecond,
            InjectedFault... all) {
        assertHandled(
                PoisonPromptParts::new,
                routers,
                workers,
                perSecond,
                crashesPerSecond,
                poisonPerSecond,
                all);
    }

    private static void assertHandled(
            LongFunction<SimulatedRequests> requests,
            int routers,
            int workers,
            double perSecond,
            double crashesPerSecond,
            double poisonPerSecond,
            InjectedFault... all) {
        List<String> missed = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation simulation =
                    new CrashSimulation(seed, routers, workers, requests.apply(seed), all);
            simulation.advance(TIME, perSecond, crashesPerSecond, poisonPerSecond);
            int sends = simulation.lateSendsOfPoisonRequest();
            int innocents = simulation.lateInnocents();
            int refused = simulation.lateInnocentsRefused();
            if (sends > ALLOWED) {
                missed.add("seed " + seed + ": " + sends + " poison requests");
            }
            if (refused > (1 - SERVED_AT_LEAST) * innocents) {
                missed.add("seed " + seed + ": refused " + refused + " of " + innocents);
            }
        }
        assertEquals(List.of(), missed);
    }
}
