package io.damaskyoke.control.direct;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which a request may be served: {@code route.homes().and(workspace.homes())}.
 *
 * <p>Where a route and a workspace both name regions, both apply. A zone whose region is not known
 * may serve only requests without such a restriction.
 *
 * @param regions the allowed regions; empty if the request may be served anywhere
 */
public record Homes(Optional<Set<String>> regions) {
    /** Allows any region. */
    public static final Homes ANYWHERE = new Homes(Optional.empty());

    /** Allows only these regions; any region, if none are named. */
    public static Homes of(Collection<String> regions) {
        return regions.isEmpty() ? ANYWHERE : new Homes(Optional.of(Set.copyOf(regions)));
    }

    /** Returns the regions that both allow, which may be none. */
    public Homes and(Homes other) {
        if (anywhere() || other.anywhere()) {
            return anywhere() ? other : this;
        }
        Set<String> both = new HashSet<>(regions.get());
        both.retainAll(other.regions.get());
        return new Homes(Optional.of(Set.copyOf(both)));
    }

    /**
     * Returns true if a request may be served in the region; the empty name stands for an unknown
     * region.
     */
    public boolean allow(String region) {
        return anywhere() || regions.get().contains(region);
    }

    /** Returns true if a request may be served anywhere. */
    public boolean anywhere() {
        return regions.isEmpty();
    }
}
