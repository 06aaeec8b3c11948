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

/**
 * Which routers follow the store for all: {@code WatchPlan.of(routers).watchers()}.
 *
 * <p>The pattern: dozens to hundreds of routers need the same few keys. Asked by each of them, the
 * store answers as many calls as there are routers, and each has its price. A few follow it, spread
 * over the zones by the {@link RelayPlan} of each, and pass on what they hear. Who reads the same
 * list makes the same plan; with another list a router asks one that does not follow, is turned
 * away, and asks the store.
 */
final class WatchPlan {
    /** As many routers as this follow the store each by itself. */
    private static final int ALL_UP_TO = 8;

    /** Two may be killed and another turned away by the store, and one is left. */
    private static final int LEAST = 4;

    /** Each of them then passes on to some thirty others of the largest fleet to design for. */
    private static final int MOST = 12;

    private final List<Vm> watchers;
    private final boolean all;

    private WatchPlan(List<Vm> watchers, boolean all) {
        this.watchers = watchers;
        this.all = all;
    }

    /** The plan for these routers. */
    static WatchPlan of(Collection<Vm> routers) {
        if (routers.size() <= ALL_UP_TO) {
            return new WatchPlan(List.copyOf(routers), true);
        }
        List<Vm> ranked = ranked(routers);
        int zones = (int) routers.stream().map(Vm::zone).distinct().count();
        int count = Math.min(MOST, Math.max(LEAST, zones));
        return new WatchPlan(List.copyOf(ranked.subList(0, Math.min(count, ranked.size()))), false);
    }

    // The first relay of each zone, then the second of each.
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

    /** True if every router follows the store by itself. */
    boolean all() {
        return all;
    }

    /** Those that follow the store. */
    List<VmId> watchers() {
        return watchers.stream().map(Vm::id).toList();
    }

    /** True if this router follows the store. */
    boolean watches(VmId router) {
        return all || watchers().contains(router);
    }

    /** Whom this router asks, those of its own zone first; empty if it follows the store. */
    List<VmId> sources(VmId router, AvailabilityZone zone) {
        if (watches(router)) {
            return List.of();
        }
        int turn = Math.floorMod(router.value().hashCode(), Math.max(1, watchers.size()));
        List<Vm> order = new ArrayList<>(watchers.subList(turn, watchers.size()));
        order.addAll(watchers.subList(0, turn));
        order.sort(Comparator.comparing(vm -> !vm.zone().equals(zone)));
        return order.stream().map(Vm::id).toList();
    }
}
