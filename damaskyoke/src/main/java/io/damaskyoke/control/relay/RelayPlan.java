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
 * Who passes the configuration on to whom in an availability zone, by rendezvous hashing over the
 * list of VMs.
 *
 * <p>Two relays read the store. In a large zone some more, the branches, follow the relays, and all
 * others follow two branches: with 185 processes in a zone a relay that answered each of them
 * itself would spend several times its 3 KB a second.
 *
 * <p>Nobody has to agree on the plan: who reads the same list makes the same one, and a VM that
 * comes or goes changes little of it. Two readers of different lists follow different processes for
 * a while, which costs a watch and harms nothing.
 */
public final class RelayPlan {
    /** Relays of a zone: a second one, so that the first may be frozen without anyone noticing. */
    public static final int RELAYS = 2;

    /** Processes of a zone that the relays still serve themselves. */
    public static final int SERVED_DIRECTLY = 24;

    private final List<Vm> relays;
    private final List<Vm> branches;

    private RelayPlan(List<Vm> relays, List<Vm> branches) {
        this.relays = relays;
        this.branches = branches;
    }

    /**
     * The plan for one zone. Routers go before agents, since the slot beside an upstream is small;
     * a VM that is leaving passes nothing on.
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
        int relays = Math.min(RELAYS, ranked.size());
        int branches = ranked.size() <= SERVED_DIRECTLY ? 0 : branches(ranked.size());
        return new RelayPlan(ranked.subList(0, relays), ranked.subList(relays, relays + branches));
    }

    /** The processes that read the store; fewer than two only in a zone of fewer VMs. */
    public List<Vm> relays() {
        return relays;
    }

    /** The processes that follow the relays and are followed by others; none in a small zone. */
    public List<Vm> branches() {
        return branches;
    }

    /** Whom this process asks, the first choice first; never itself. */
    public List<Vm> parents(VmId process) {
        boolean top = branches.isEmpty() || in(relays, process) || in(branches, process);
        if (top) {
            return relays.stream().filter(vm -> !vm.id().equals(process)).toList();
        }
        return branches.stream()
                .sorted(Comparator.comparing((Vm vm) -> weight(vm.id(), process.value())))
                .limit(RELAYS)
                .toList();
    }

    // A relay has the branches to answer and a branch its share of the rest, twice. With the square
    // root a busy branch has 38 links; with half as many branches again it and a relay are alike.
    private static int branches(int size) {
        return (int) Math.ceil(1.5 * Math.sqrt(size));
    }

    private static boolean in(List<Vm> vms, VmId id) {
        return vms.stream().anyMatch(vm -> vm.id().equals(id));
    }

    /** FNV-1a, and a finalizer that lets each bit of the names move each bit of the weight. */
    private static long weight(VmId vm, String among) {
        long hash = 0xcbf29ce484222325L;
        for (char c : (among + "/" + vm.value()).toCharArray()) {
            hash = (hash ^ c) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
