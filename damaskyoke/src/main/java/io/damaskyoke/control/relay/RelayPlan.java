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
 * Assigns the processes of an availability zone to the processes that they follow for the
 * configuration, by rendezvous hashing over the list of VMs.
 *
 * <p>Two relays read the store. In a large zone some further processes, the branches, follow the
 * relays, and all others follow two branches: with 185 processes in a zone, a relay that answered
 * each of them itself would send several times its limit of 3 KB/s.
 *
 * <p>No agreement on the plan is needed: all processes that read the same list compute the same
 * plan, and a VM that comes or goes changes little of it. Two readers of different lists follow
 * different processes for a while, which costs one more watch and does no harm.
 */
public final class RelayPlan {
    /** Relays per zone: with a second one, the first may be frozen without any effect. */
    public static final int RELAYS_PER_ZONE = 2;

    /** The largest number of processes in a zone that the relays serve themselves. */
    public static final int MAX_SERVED_DIRECTLY = 24;

    private final List<Vm> relays;
    private final List<Vm> branches;

    private RelayPlan(List<Vm> relays, List<Vm> branches) {
        this.relays = relays;
        this.branches = branches;
    }

    /**
     * Returns the plan for one zone. Routers are chosen before agents, since an agent has little
     * capacity to spare beside its upstream; a VM that is leaving is not chosen.
     */
    public static RelayPlan of(Collection<Vm> listed, AvailabilityZone zone) {
        List<Vm> ranked =
                listed.stream()
                        .filter(vm -> vm.zone().equals(zone))
                        .filter(vm -> vm.state() == State.LIVE)
                        .sorted(
                                Comparator.comparing((Vm vm) -> vm.role() != Role.ROUTER)
                                        .thenComparing(vm -> weight(vm.id(), zone.value()))
                                        .thenComparing(vm -> vm.id().value()))
                        .toList();
        int relays = Math.min(RELAYS_PER_ZONE, ranked.size());
        int branches = ranked.size() <= MAX_SERVED_DIRECTLY ? 0 : branches(ranked.size());
        return new RelayPlan(ranked.subList(0, relays), ranked.subList(relays, relays + branches));
    }

    /** Returns the processes that read the store; fewer than two only in a zone of fewer VMs. */
    public List<Vm> relays() {
        return relays;
    }

    /**
     * Returns the processes that follow the relays and are followed by others; none in a small
     * zone.
     */
    public List<Vm> branches() {
        return branches;
    }

    /** Returns the processes that this process asks, in order of preference; never itself. */
    public List<Vm> parents(VmId process) {
        boolean followsRelays =
                branches.isEmpty() || contains(relays, process) || contains(branches, process);
        if (followsRelays) {
            return relays.stream().filter(vm -> !vm.id().equals(process)).toList();
        }
        return branches.stream()
                .sorted(Comparator.comparing((Vm vm) -> weight(vm.id(), process.value())))
                .limit(RELAYS_PER_ZONE)
                .toList();
    }

    // A relay answers the branches, and a branch its share of the other processes, each of which
    // asks two branches. With the square root a busy branch has 38 connections; with half as many
    // branches again, a branch and a relay have about the same load.
    private static int branches(int size) {
        return (int) Math.ceil(1.5 * Math.sqrt(size));
    }

    private static boolean contains(List<Vm> vms, VmId id) {
        return vms.stream().anyMatch(vm -> vm.id().equals(id));
    }

    /**
     * Computes FNV-1a with a finalizer, so that each bit of the names affects each bit of the
     * weight.
     */
    private static long weight(VmId vm, String key) {
        long hash = 0xcbf29ce484222325L;
        for (char c : (key + "/" + vm.value()).toCharArray()) {
            hash = (hash ^ c) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
