package io.damaskyoke.control.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.relay.RegistrationTable.Delta;
import io.damaskyoke.control.relay.RegistrationTable.Row;
import io.damaskyoke.id.VmId;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RegistrationTableTest {
    private final RegistrationTable relay = new RegistrationTable();

    @Test
    void aFollowerGetsAllFirstAndThenOnlyWhatChanged() {
        relay.apply(new Delta(List.of(row("a", 3), row("b", 5)), 9, true));
        assertTrue(relay.changesSince(0).full());
        relay.put(row("b", 10));
        relay.put(gone("a", 11));
        Delta delta = relay.changesSince(9);
        assertFalse(delta.full());
        assertEquals(2, delta.rows().size());
        assertEquals(List.of("b"), names(relay));
    }

    @Test
    void aListingWithoutAnAgentReachesFollowersAsARemoval() {
        relay.apply(new Delta(List.of(row("a", 3), row("b", 5)), 9, true));
        relay.apply(new Delta(List.of(row("b", 5)), 20, true));
        assertEquals(List.of("b"), names(relay));
        Delta delta = relay.changesSince(9);
        assertFalse(delta.full());
        assertTrue(delta.rows().get(0).removed());
    }

    /**
     * Whichever of two relays a follower asks, in whatever order, it ends with the state of the
     * relays.
     */
    @Property(seed = "20261204", tries = 200)
    void aFollowerOfTwoRelaysEndsInTheirState(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RegistrationTable[] relays = {new RegistrationTable(), new RegistrationTable()};
        RegistrationTable follower = new RegistrationTable();
        RegistrationTable store = new RegistrationTable();
        store.apply(new Delta(List.of(), 1, true));
        for (int step = 0; step < 60; step++) {
            String vm = "vm-" + random.nextInt(5);
            long revision = store.revision() + 1;
            store.put(random.nextBoolean() ? row(vm, revision) : gone(vm, revision));
            RegistrationTable either = relays[random.nextInt(2)];
            either.apply(
                    random.nextInt(4) == 0
                            ? new Delta(store.registrations(), store.revision(), true)
                            : store.changesSince(either.revision()));
            follower.apply(relays[random.nextInt(2)].changesSince(follower.revision()));
        }
        relays[0].apply(new Delta(store.registrations(), store.revision(), true));
        follower.apply(relays[0].changesSince(follower.revision()));
        assertEquals(names(store), names(follower));
    }

    private static List<String> names(RegistrationTable table) {
        return table.registrations().stream().map(row -> row.vm().value()).toList();
    }

    private static Row row(String vm, long revision) {
        return new Row(VmId.of(vm), new byte[] {1}, revision);
    }

    private static Row gone(String vm, long revision) {
        return new Row(VmId.of(vm), new byte[0], revision);
    }
}
