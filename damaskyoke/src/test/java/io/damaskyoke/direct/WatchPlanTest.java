package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList.Role;
import io.damaskyoke.platform.VmList.State;
import io.damaskyoke.platform.VmList.Vm;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchPlanTest {
    @Test
    void inASmallFleetEveryRouterWatchesTheStore() {
        WatchPlan plan = WatchPlan.of(routers(6, 2));
        assertTrue(plan.allWatch());
        assertEquals(List.of(), plan.sources(VmId.of("r-1"), AvailabilityZone.of("zone-1")));
    }

    // Guards against calls to the store that grow with the routers.
    @ParameterizedTest
    @CsvSource({"9, 1, 2", "15, 3, 4", "33, 5, 5", "100, 7, 7", "300, 15, 12"})
    void aLargeFleetHasFewWatchers(int routers, int zones, int watchers) {
        assertEquals(watchers, WatchPlan.of(routers(routers, zones)).watchers().size());
    }

    @Test
    void aRouterAsksTheWatchersOfItsOwnZoneFirstAndThenAllOthers() {
        WatchPlan plan = WatchPlan.of(routers(33, 5));
        for (Vm router : routers(33, 5)) {
            List<VmId> sources = plan.sources(router.id(), router.zone());
            if (plan.watches(router.id())) {
                assertEquals(List.of(), sources);
                continue;
            }
            assertEquals(plan.watchers().size(), sources.size());
            assertEquals(router.zone().value(), "zone-" + number(sources.get(0)) % 5);
        }
    }

    // Guards against one watcher that all routers ask and that has time for little else.
    @Test
    void watchersAreAskedByAboutEquallyManyRouters() {
        WatchPlan plan = WatchPlan.of(routers(300, 15));
        var first =
                routers(300, 15).stream()
                        .filter(each -> !plan.watches(each.id()))
                        .collect(
                                Collectors.groupingBy(
                                        each -> plan.sources(each.id(), each.zone()).get(0),
                                        Collectors.counting()));
        first.values().forEach(asked -> assertTrue(asked <= 60, first.toString()));
    }

    // Guards against watchers, and so leaders, on small VMs.
    @Test
    void onlyLargeRoutersWatchWhereTheyAreInAllZones() {
        WatchPlan plan = WatchPlan.of(routers(27, 3), router -> number(router) < 6);
        assertEquals(4, plan.watchers().size());
        plan.watchers().forEach(each -> assertTrue(number(each) < 6, each.value()));
    }

    // Guards against too few watchers where the large routers are in one zone.
    @Test
    void smallRoutersWatchTooWhereTheLargeOnesAreInOneZone() {
        WatchPlan plan = WatchPlan.of(routers(27, 3), router -> number(router) % 3 == 0);
        assertEquals(4, plan.watchers().size());
    }

    @Test
    void theSameListGivesTheSamePlan() {
        List<Vm> other = new ArrayList<>(routers(33, 5));
        java.util.Collections.reverse(other);
        assertEquals(WatchPlan.of(routers(33, 5)).watchers(), WatchPlan.of(other).watchers());
        assertFalse(WatchPlan.of(other).allWatch());
    }

    private static int number(VmId router) {
        return Integer.parseInt(router.value().substring(2));
    }

    private static List<Vm> routers(int count, int zones) {
        List<Vm> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(
                    new Vm(
                            VmId.of("r-" + i),
                            Role.ROUTER,
                            AvailabilityZone.of("zone-" + i % zones),
                            "10.0.0.1",
                            1,
                            1,
                            State.LIVE));
        }
        return all;
    }
}
