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
 * Which routers have shares of a workspace: {@code ShareHolders.of(workspace, routers)}.
 *
 * <p>With a handful of routers all have one. With dozens, a share would be smaller than a usual
 * request, so that most requests would need the loans of many routers, and each start would be
 * dozens of routers writing to one row in turn. So a few routers have all of it, and the others
 * borrow from them. Rendezvous hashing picks them: who reads the same list picks the same, and a
 * router that comes or goes changes few. Two that read different lists only make one home more.
 */
final class ShareHolders {
    /** Routers of a deployment of today; each has a share large enough for several requests. */
    private static final int ALL_UP_TO = 6;

    /** One may be killed and another cut off, and two still lend. */
    private static final int OF_MANY = 4;

    private ShareHolders() {}

    static Set<VmId> of(WorkspaceId workspace, Collection<VmId> routers) {
        int most = routers.size() <= ALL_UP_TO ? routers.size() : OF_MANY;
        return routers.stream().sorted(order(workspace)).limit(most).collect(Collectors.toSet());
    }

    /** The router that has most of the workspace, where one has. */
    static VmId owner(WorkspaceId workspace, Collection<VmId> routers) {
        return routers.stream().min(order(workspace)).orElseThrow();
    }

    /** These routers, the one that has most first. */
    static List<VmId> inOrder(WorkspaceId workspace, Collection<VmId> routers) {
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
