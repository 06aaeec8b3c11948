package io.damaskyoke.control.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: {@code table.find("shop.example", "/orders/7")}. */
public final class RouteTable {
    /** A path has no route here if its route can't be read; no shorter prefix takes its place. */
    private final Map<String, Map<String, Optional<Route>>> byHost = new HashMap<>();

    /** Creates a table of these routes. */
    public RouteTable(List<Route> routes) {
        this(routes, List.of());
    }

    /**
     * Creates a table of these routes.
     *
     * @param unreadable the paths of routes that can't be read
     */
    public RouteTable(List<Route> routes, Collection<RoutePath> unreadable) {
        routes.forEach(route -> put(route.host(), route.pathPrefix(), Optional.of(route)));
        unreadable.forEach(path -> put(path.host(), path.pathPrefix(), Optional.empty()));
    }

    private void put(String host, String pathPrefix, Optional<Route> route) {
        byHost.computeIfAbsent(hostOnly(host), any -> new HashMap<>()).put(pathPrefix, route);
    }

    /**
     * Returns the route of the host with the longest matching prefix; the query of the target is
     * ignored.
     */
    public Optional<Route> find(String host, String target) {
        return longestMatch(host, target).flatMap(route -> route);
    }

    /** Returns whether the route of the request is one that can't be read. */
    public boolean isUnreadable(String host, String target) {
        return longestMatch(host, target).filter(Optional::isEmpty).isPresent();
    }

    private Optional<Optional<Route>> longestMatch(String host, String target) {
        Map<String, Optional<Route>> routes = byHost.get(hostOnly(host));
        if (routes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Optional<Route> route = routes.get(path.substring(0, slash + 1));
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
