package io.damaskyoke.direct;

import io.damaskyoke.control.relay.RelayPlan;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList.Vm;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Chooses the routers that watch the store on behalf of all: {@code
 * WatchPlan.of(routers).watchers()}.
 *
 * <p>Dozens to hundreds of routers need the same few keys. If each of them watched the store, its
 * calls would grow with the number of routers, and each call costs. Instead a few watchers, spread
 * over the zones by the {@link RelayPlan} of each, pass changes on to the others. Routers that have
 * read the same list make the same plan; a router with another list may ask one that is not a
 * watcher, which rejects it, and then asks the store.
 */
final class WatchPlan {
    /** Up to this many routers, each watches the store itself. */
    private static final int MAX_ALL_WATCHING = 8;

    /** One is left if two are killed and the store rejects a third. */
    private static final int MIN_WATCHERS = 4;

    /** In the largest fleet designed for, each then passes changes on to about 30 others. */
    private static final int MAX_WATCHERS = 12;

    private final List<Vm> watchers;
    private final boolean allWatch;

    private WatchPlan(List<Vm> watchers, boolean allWatch) {
        this.watchers = watchers;
        this.allWatch = allWatch;
    }

    /** Returns the plan for these routers, any of which may be a watcher. */
    static WatchPlan of(Collection<Vm> routers) {
        return of(routers, any -> true);
    }

    /**
     * Returns the plan for these routers.
     *
     * @param mayWatch which of them may be watchers where not all of them are
     */
    static WatchPlan of(Collection<Vm> routers, Predicate<VmId> mayWatch) {
        if (routers.size() <= MAX_ALL_WATCHING) {
            return new WatchPlan(List.copyOf(routers), true);
        }
        int zones = (int) routers.stream().map(Vm::zone).distinct().count();
        int count = Math.min(MAX_WATCHERS, Math.max(MIN_WATCHERS, zones));
        List<Vm> ranked = ranked(routers.stream().filter(vm -> mayWatch.test(vm.id())).toList());
        if (ranked.size() < count) {
            // At most two are ranked in each zone: those that may watch are in too few zones.
            ranked = ranked(routers);
        }
        return new WatchPlan(List.copyOf(ranked.subList(0, Math.min(count, ranked.size()))), false);
    }

    // Orders candidates: the first relay of each zone, then the second of each, and so on.
    private static List<Vm> ranked(Collection<Vm> routers) {
        Map<AvailabilityZone, List<Vm>> byZone =
                new TreeMap<>(Comparator.comparing(AvailabilityZone::value));
        for (Vm router : routers) {
            byZone.computeIfAbsent(router.zone(), zone -> RelayPlan.of(routers, zone).relays());
        }
        Set<Vm> ranked = new LinkedHashSet<>();
        for (int rank = 0; rank < RelayPlan.RELAYS_PER_ZONE; rank++) {
            for (List<Vm> relays : byZone.values()) {
                if (rank < relays.size()) {
                    ranked.add(relays.get(rank));
                }
            }
        }
        return new ArrayList<>(ranked);
    }

    /** Returns true if every router watches the store itself. */
    boolean allWatch() {
        return allWatch;
    }

    /** Returns the routers that watch the store. */
    List<VmId> watchers() {
        return watchers.stream().map(Vm::id).toList();
    }

    /** Returns true if this router watches the store. */
    boolean watches(VmId router) {
        return allWatch || watchers().contains(router);
    }

    /**
     * Returns the watchers that this router asks, in this order, those of its own zone first; empty
     * if it watches the store itself.
     */
    List<VmId> sources(VmId router, AvailabilityZone zone) {
        if (watches(router)) {
            return List.of();
        }
        int offset = Math.floorMod(router.value().hashCode(), Math.max(1, watchers.size()));
        List<Vm> order = new ArrayList<>(watchers.subList(offset, watchers.size()));
        order.addAll(watchers.subList(0, offset));
        order.sort(Comparator.comparing(vm -> !vm.zone().equals(zone)));
        return order.stream().map(Vm::id).toList();
    }
}
