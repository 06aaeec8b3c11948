package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.upstreams.DrainedZones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ZoneDrainsTest {
    private static final Instant NOW = Instant.ofEpochSecond(100);
    private static final byte[] NOTHING = new byte[0];

    private final DrainedZones zones = new DrainedZones(Duration.ofSeconds(5));
    private final List<String> notified = new ArrayList<>();
    private final ZoneDrains drains =
            new ZoneDrains(new TestDialect(), zones, Set.of("a", "b"), new RecordingListener());

    @Test
    void aDrainIsNotifiedOnce() {
        drains.applyDrain("a", NOTHING, 3, NOW);
        drains.applyDrain("a", NOTHING, 4, NOW);
        drains.applyRestore("a", 5);
        assertEquals(List.of("drained a", "restored a"), notified);
    }

    @Test
    void unknownZonesUnreadableValuesAndRestoresWithoutADrainChangeNothing() {
        drains.applyDrain("nowhere", NOTHING, 3, NOW);
        drains.applyDrain("a", new byte[] {7}, 4, NOW);
        drains.applyRestore("b", 5);
        drains.applyRestore("nowhere", 6);
        assertEquals(Map.of(), zones.all());
        assertEquals(List.of(), notified);
    }

    // Guards against an old change that arrives after newer ones and would open the zone again.
    @Test
    void changesOlderThanTheAppliedRevisionAreIgnored() {
        drains.merge(new RouterStatus.DrainStatus(9, Map.of("a", NOW)));
        drains.applyDrain("b", NOTHING, 7, NOW);
        drains.applyRestore("a", 8);
        drains.restoreAllExcept(Set.of(), 9);
        assertEquals(Set.of("a"), zones.all().keySet());
        drains.merge(new RouterStatus.DrainStatus(8, Map.of()));
        assertEquals(Set.of("a"), zones.all().keySet());
    }

    @Test
    void newerDrainsOfAnotherRouterReplaceTheKnownOnes() {
        drains.applyDrain("a", NOTHING, 3, NOW);
        drains.merge(new RouterStatus.DrainStatus(5, Map.of("b", NOW)));
        assertEquals(Set.of("b"), zones.all().keySet());
        assertEquals(List.of("drained a", "restored a", "drained b"), notified);
    }

    /** Records the notifications. */
    private final class RecordingListener implements ZoneDrains.Listener {
        @Override
        public void drained(String zone) {
            notified.add("drained " + zone);
        }

        @Override
        public void restored(String zone) {
            notified.add("restored " + zone);
        }
    }
}
