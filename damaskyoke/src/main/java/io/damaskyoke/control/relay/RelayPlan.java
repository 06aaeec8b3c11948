package io.damaskyoke.control.relay;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList.Role;
import io.damaskyoke.platform.VmList.State;
import io.damaskyoke.platform.VmList.Vm;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the relays of an availability zone by rendezvous hashing over the list of VMs.
 *
 * <p>Nobody has to agree on it: who reads the same list chooses the same relays, and a VM that
 * comes or goes changes at most one of them. Two readers of different lists follow different relays
 * for a while, which costs a watch and harms nothing.
 */
public final class RelayPlan {
    /** Relays of a zone: a second one, so that the first may be frozen without anyone noticing. */
    public static final int RELAYS = 2;

    private RelayPlan() {}

    /**
     * The relays of the zone, the first choice first. Routers go before agents, since the slot
     * beside an upstream is small; a VM that is leaving is none.
     */
    public static List<Vm> relays(Collection<Vm> listed, AvailabilityZone zone) {
        return listed.stream()
                .filter(vm -> vm.zone().equals(zone))
                .filter(vm -> vm.state() == State.LIVE)
                .sorted(
                        Comparator.comparing((Vm vm) -> vm.role() != Role.ROUTER)
                                .thenComparing(vm -> weight(vm.id(), zone))
                                .thenComparing(vm -> vm.id().value()))
                .limit(RELAYS)
                .toList();
    }

    private static long weight(VmId vm, AvailabilityZone zone) {
        long hash = 0xcbf29ce484222325L;
        for (char c : (zone.value() + "/" + vm.value()).toCharArray()) {
            hash = (hash ^ c) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
