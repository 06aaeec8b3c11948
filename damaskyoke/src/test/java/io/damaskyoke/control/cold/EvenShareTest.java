package io.damaskyoke.control.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EvenShareTest {
    private static final double ALL = 48.5;
    private static final UpstreamId UPSTREAM = UpstreamId.of("i-1");

    // Guards against shares that add up to more than the upstream can take, in fleets of any size.
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 22, 33, 48, 49, 300, 380})
    void sharesNeverAddUpToMoreThanAll(int count) {
        List<VmId> fleet = fleet(count);
        int sum = fleet.stream().mapToInt(each -> share(each, fleet)).sum();
        assertTrue(sum <= ALL, sum + " of " + ALL);
        assertTrue(sum >= ALL / 2, "only " + sum);
    }

    @Test
    void inALargeFleetEachRouterCanUseSomeUpstreams() {
        List<VmId> fleet = fleet(300);
        for (VmId router : fleet) {
            UpstreamShare share = new EvenShare(router, () -> fleet);
            int usable = 0;
            for (int each = 0; each < 200; each++) {
                usable += share.of(UpstreamId.of("i-" + each), ALL);
            }
            assertTrue(usable > 0, router + " has none");
        }
    }

    // Guards against routers that start together, find the list empty and each take all requests.
    @Test
    void aRouterThatIsNotListedYetGetsOneRequest() {
        assertEquals(1, share(VmId.of("new"), fleet(4)));
        assertEquals(1, share(VmId.of("new"), fleet(0)));
        assertEquals(12, share(VmId.of("edge-1"), fleet(4)));
    }

    private static int share(VmId router, List<VmId> fleet) {
        return new EvenShare(router, () -> fleet).of(UPSTREAM, ALL);
    }

    private static List<VmId> fleet(int count) {
        List<VmId> fleet = new ArrayList<>();
        for (int each = 0; each < count; each++) {
            fleet.add(VmId.of("edge-" + each));
        }
        return fleet;
    }
}
