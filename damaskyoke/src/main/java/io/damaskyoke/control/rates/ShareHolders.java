package io.damaskyoke.control.rates;

import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.zip.CRC32;

/**
 * Selects the routers that hold shares of a workspace: {@code ShareHolders.select(workspace,
 * candidates, routers)}.
 *
 * <p>With a handful of routers all of them hold one. With dozens, a share would be smaller than a
 * usual request, so that most requests would need transfers from many routers, and at each start
 * dozens of routers would write to one row in turn. So a few routers hold all of it, and the others
 * borrow from them. Rendezvous hashing selects them: routers that read the same list select the
 * same, and a router that joins or leaves changes few selections. Two routers that read different
 * lists only add one more holder.
 */
final class ShareHolders {
    /**
     * Size of a present-day deployment; each router has a share large enough for several requests.
     */
    private static final int MAX_ROUTERS_ALL_HOLDERS = 6;

    /** One may be killed and another cut off, and two can still lend. */
    private static final int HOLDERS_OF_MANY = 4;

    private ShareHolders() {}

    /**
     * Returns the holders.
     *
     * @param candidates the routers that may be holders
     * @param routers number of all routers
     */
    static Set<VmId> select(WorkspaceId workspace, Collection<VmId> candidates, int routers) {
        int count = routers <= MAX_ROUTERS_ALL_HOLDERS ? candidates.size() : HOLDERS_OF_MANY;
        return candidates.stream()
                .sorted(order(workspace))
                .limit(count)
                .collect(Collectors.toSet());
    }

    /** Returns the designated owner, which should hold most of the workspace. */
    static VmId owner(WorkspaceId workspace, Collection<VmId> routers) {
        return routers.stream().min(order(workspace)).orElseThrow();
    }

    /** Returns these routers with the designated owner first. */
    static List<VmId> ownerFirst(WorkspaceId workspace, Collection<VmId> routers) {
        return routers.stream().sorted(order(workspace)).toList();
    }

    private static Comparator<VmId> order(WorkspaceId workspace) {
        return Comparator.comparingLong((VmId vm) -> weight(workspace, vm))
                .thenComparing(Comparator.naturalOrder());
    }

    private static long weight(WorkspaceId workspace, VmId vm) {
        CRC32 hash = new CRC32();
        hash.update((workspace.value() + '@' + vm.value()).getBytes(StandardCharsets.UTF_8));
        return hash.getValue();
    }
}
