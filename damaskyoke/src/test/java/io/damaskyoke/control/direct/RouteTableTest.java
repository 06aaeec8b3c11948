package io.damaskyoke.control.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private final RouteTable table =
            new RouteTable(
                    List.of(
                            route("all", "shop.example", "/"),
                            route("orders", "shop.example", "/orders/"),
                            route("late", "shop.example", "/orders/late/"),
                            route("other", "lease.example", "/orders/")));

    @Test
    void theLongestPrefixWins() {
        assertEquals("late", find("shop.example", "/orders/late/7"));
        assertEquals("orders", find("shop.example", "/orders/latest"));
        assertEquals("all", find("shop.example", "/index"));
    }

    @Test
    void aPrefixEndsAtASlash() {
        assertEquals("all", find("shop.example", "/orders"));
        assertEquals("orders", find("shop.example", "/orders/"));
    }

    @Test
    void theQueryAndThePortAreIgnored() {
        assertEquals("orders", find("Shop.Example:8080", "/orders/7?next=/orders/late/"));
    }

    @Test
    void anotherHostHasItsOwnRoutes() {
        assertEquals("other", find("lease.example", "/orders/late/7"));
        assertEquals(Optional.empty(), table.find("lease.example", "/index"));
        assertEquals(Optional.empty(), table.find("nobody.example", "/orders/7"));
    }

    @Test
    void aSplitRouteSendsEachServiceItsPart() {
        Route split =
                route("split", List.of(new Route.Target("old", 90), new Route.Target("new", 10)));
        assertEquals("old", split.chooseService(0.0));
        assertEquals("old", split.chooseService(0.899));
        assertEquals("new", split.chooseService(0.901));
        assertEquals("new", split.chooseService(0.9999));
    }

    private String find(String host, String target) {
        return table.find(host, target).orElseThrow().name();
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Optional.empty(),
                0,
                1,
                false,
                false,
                AllowedRegions.ANYWHERE,
                List.of(new Route.Target("service", 1)));
    }

    private static Route route(String name, List<Route.Target> targets) {
        Route plain = route(name, "shop.example", "/");
        return new Route(
                name,
                plain.host(),
                plain.pathPrefix(),
                plain.kind(),
                plain.timeout(),
                plain.objective(),
                plain.gapObjective(),
                plain.priority(),
                plain.attempts(),
                plain.anonymous(),
                plain.resumable(),
                plain.allowedRegions(),
                targets);
    }
}
