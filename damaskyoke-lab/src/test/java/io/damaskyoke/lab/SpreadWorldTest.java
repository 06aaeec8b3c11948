package io.damaskyoke.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SpreadWorldTest {
    private static final Duration LIMIT = Duration.ofSeconds(10);

    /**
     * Callers see no delay. Of each zone one relay is stopped while ticket upon ticket is accepted;
     * the other pushes to the same followers, and these ask it once the stopped one is late.
     */
    @Test
    void aFrozenRelayInEachZoneDelaysNobody() {
        SpreadWorld world = new SpreadWorld(180, 3, 1).advance(Duration.ofSeconds(20));
        List<SpreadWorld.Process> stopped =
                List.of(world.relays().get(0), world.relays().get(1), world.relays().get(2));
        stopped.forEach(world::freeze);
        for (int i = 0; i < 5; i++) {
            world.accept();
            world.advance(Duration.ofSeconds(6));
            for (SpreadWorld.Process process : world.processes()) {
                if (!stopped.contains(process)) {
                    assertEquals(world.head(), process.sequence());
                    assertTrue(isConfirmed(world, process));
                }
            }
        }
    }

    /**
     * Callers see the new configuration after some seconds. Both relays of every zone are stopped;
     * their followers find them silent and ask the store, at different moments.
     */
    @Test
    void withoutAnyRelayTheStoreIsAsked() {
        SpreadWorld world = new SpreadWorld(18, 3, 1).advance(Duration.ofSeconds(20));
        List<SpreadWorld.Process> stopped = world.relays();
        stopped.forEach(world::freeze);
        world.accept();
        world.advance(Duration.ofSeconds(12));
        for (SpreadWorld.Process process : world.processes()) {
            assertTrue(stopped.contains(process) || process.sequence() == 1);
            assertTrue(stopped.contains(process) || isConfirmed(world, process));
        }
    }

    /**
     * A router that was stopped refuses requests as not run when it goes on. A minute's answers
     * wait for it in its buffers; each says "confirmed a second ago", and none of them counts,
     * since its probe was sent before the stop.
     */
    @Test
    void aProcessThatWasStoppedWakesUpUnconfirmed() {
        SpreadWorld world = new SpreadWorld(18, 3, 1).advance(Duration.ofSeconds(20));
        for (SpreadWorld.Process process : world.processes()) {
            if (!world.relays().contains(process)) {
                world.freeze(process);
                world.advance(Duration.ofMinutes(1));
                world.accept();
                world.advance(Duration.ofSeconds(1));
                world.thaw(process);
                assertTrue(!isConfirmed(world, process) || process.sequence() == world.head());
                world.advance(Duration.ofSeconds(5));
                assertTrue(isConfirmed(world, process));
                assertEquals(world.head(), process.sequence());
            }
        }
    }

    /**
     * Whatever is frozen, thawed and out: no process goes back, and none claims to know of all that
     * was accepted up to a moment when it doesn't. Once the faults are over, all come to the head.
     */
    @Property(seed = "20261203", tries = 40)
    void nobodyGoesBackOrClaimsWhatIsNotTrue(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SpreadWorld world = new SpreadWorld(40 + random.nextInt(60), 2, seed);
        Map<SpreadWorld.Process, Long> before = new HashMap<>();
        boolean out = false;
        for (int step = 0; step < 60; step++) {
            SpreadWorld.Process any =
                    world.processes().get(random.nextInt(world.processes().size()));
            switch (random.nextInt(6)) {
                case 0 -> world.freeze(any);
                case 1 -> world.thaw(any);
                case 2 -> world.relays().stream().findAny().ifPresent(world::freeze);
                case 3 -> world.storeOut(out = !out);
                default -> {
                    if (!out) {
                        world.accept();
                    }
                }
            }
            world.advance(Duration.ofMillis(random.nextInt(4_000)));
            world.processes().forEach(process -> check(world, process, before));
        }
        world.storeOut(false);
        world.processes().forEach(world::thaw);
        world.advance(Duration.ofSeconds(30));
        world.processes().forEach(process -> assertEquals(world.head(), process.sequence()));
    }

    private static void check(
            SpreadWorld world, SpreadWorld.Process process, Map<SpreadWorld.Process, Long> before) {
        assertTrue(process.sequence() >= before.getOrDefault(process, 0L));
        before.put(process, process.sequence());
        process.confirmed().ifPresent(at -> assertTrue(process.sequence() >= world.acceptedBy(at)));
    }

    private static boolean isConfirmed(SpreadWorld world, SpreadWorld.Process process) {
        return process.confirmed().filter(at -> at.plus(LIMIT).isAfter(world.now())).isPresent();
    }
}
