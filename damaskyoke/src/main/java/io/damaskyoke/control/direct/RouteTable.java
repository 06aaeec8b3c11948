package io.damaskyoke.control.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: {@code table.find("shop.example", "/orders/7")}. */
public final class RouteTable {
    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /** Creates a table of these routes. */
    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(hostOnly(route.host()), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /**
     * Returns the route of the host with the longest matching prefix; the query of the target is
     * ignored.
     */
    public Optional<Route> find(String host, String target) {
        Map<String, Route> routes = byHost.get(hostOnly(host));
        if (routes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }

    private static String hostOnly(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
