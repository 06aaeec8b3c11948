package io.damaskyoke.direct;

import io.damaskyoke.id.VmId;
import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the routers that get the duties which one router carries out for all others: {@code
 * LargeRouters.of(entries)}.
 *
 * <p>A leader or the owner of a rate limit on a VM with a fifth of a core answers so late that it
 * resigns or is taken for lost, and its successor is no faster. So these duties go to the routers
 * with at least half of the largest capacity. Routers that have read the same entries select the
 * same.
 */
final class LargeRouters {
    /** One may be killed, one suspended and one partitioned, and one is left. */
    private static final int MIN_LARGE = 4;

    private static final double LARGE_FRACTION = 0.5;

    private LargeRouters() {}

    /**
     * Returns the large routers; all of them if the capacity of any is unknown or too few are
     * large.
     */
    static Set<VmId> of(Collection<RouterEntry> routers) {
        Set<VmId> all = routers.stream().map(RouterEntry::vm).collect(Collectors.toSet());
        if (routers.stream().anyMatch(router -> router.capacity().isEmpty())) {
            return all;
        }
        double largest =
                routers.stream()
                        .mapToDouble(router -> router.capacity().getAsDouble())
                        .max()
                        .orElse(0);
        Set<VmId> large =
                routers.stream()
                        .filter(
                                router ->
                                        router.capacity().getAsDouble() >= largest * LARGE_FRACTION)
                        .map(RouterEntry::vm)
                        .collect(Collectors.toSet());
        return large.size() >= MIN_LARGE ? large : all;
    }
}
