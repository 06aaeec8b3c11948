package io.damaskyoke.control.direct;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which a request may be served: {@code
 * route.allowedRegions().intersect(workspace.allowedRegions())}.
 *
 * <p>Where a route and a workspace both name regions, both apply. A zone whose region is not known
 * may serve only requests without such a restriction.
 *
 * @param regions the allowed regions; empty if the request may be served anywhere
 */
public record AllowedRegions(Optional<Set<String>> regions) {
    /** Allows any region. */
    public static final AllowedRegions ANYWHERE = new AllowedRegions(Optional.empty());

    /** Allows only these regions; any region, if none are named. */
    public static AllowedRegions of(Collection<String> regions) {
        return regions.isEmpty() ? ANYWHERE : new AllowedRegions(Optional.of(Set.copyOf(regions)));
    }

    /** Returns the regions that both allow, which may be none. */
    public AllowedRegions intersect(AllowedRegions other) {
        if (isUnrestricted() || other.isUnrestricted()) {
            return isUnrestricted() ? other : this;
        }
        Set<String> both = new HashSet<>(regions.get());
        both.retainAll(other.regions.get());
        return new AllowedRegions(Optional.of(Set.copyOf(both)));
    }

    /**
     * Returns true if a request may be served in the region; the empty name stands for an unknown
     * region.
     */
    public boolean allows(String region) {
        return isUnrestricted() || regions.get().contains(region);
    }

    /** Returns true if a request may be served anywhere. */
    public boolean isUnrestricted() {
        return regions.isEmpty();
    }
}
