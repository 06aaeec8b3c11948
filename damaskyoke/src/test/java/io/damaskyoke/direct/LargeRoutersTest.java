package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.id.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LargeRoutersTest {
    // Guards against leaders and owners of rate limits on VMs with a fifth of a core.
    @Test
    void routersWithLessThanHalfOfTheLargestCapacityAreLeftOut() {
        List<RouterEntry> routers = routers(6, 1.5);
        routers.addAll(routers(21, 0.27));
        Set<VmId> large = LargeRouters.of(routers);
        assertEquals(6, large.size());
        assertTrue(large.contains(VmId.of("1.5-0")), large.toString());
    }

    // Guards against so few large routers that the loss of one interrupts every duty.
    @Test
    void allRoutersCountWhereFewerThanFourAreLarge() {
        List<RouterEntry> routers = routers(3, 1.5);
        routers.addAll(routers(21, 0.27));
        assertEquals(24, LargeRouters.of(routers).size());
    }

    // Guards against routers of an earlier version that lose all duties during a release.
    @Test
    void allRoutersCountWhereTheCapacityOfOneIsUnknown() {
        List<RouterEntry> routers = routers(6, 1.5);
        routers.addAll(routers(21, 0.27));
        routers.add(RouterEntry.parse("{\"vm\":\"old\",\"zone\":\"a\",\"host\":\"h\"}".getBytes()));
        assertEquals(28, LargeRouters.of(routers).size());
    }

    // Guards against a capacity that other routers can't read, so that all count as large.
    @Test
    void theEntryInTheStoreKeepsTheCapacity() {
        RouterEntry entry = routers(1, 1.5).get(0);
        assertEquals(entry, RouterEntry.parse(entry.toJson()));
    }

    private static List<RouterEntry> routers(int count, double capacity) {
        List<RouterEntry> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            VmId vm = VmId.of(capacity + "-" + i);
            all.add(new RouterEntry(vm, "a", "10.0.0.1", 7600, OptionalDouble.of(capacity)));
        }
        return all;
    }
}
