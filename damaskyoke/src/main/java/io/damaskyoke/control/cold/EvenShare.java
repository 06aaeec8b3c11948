package io.damaskyoke.control.cold;

import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.function.Supplier;
import java.util.zip.CRC32;

/**
 * Divides the requests evenly among the routers, and the remainder one by one among as many
 * routers; in large fleets most routers get none.
 *
 * <p>The routers agree on who gets the remainder without communication: those whose names, hashed
 * with the name of the upstream, come first. The order differs between upstreams, so that each
 * router can use some. A router that is not listed itself can't know how many there are, and gets
 * one request.
 */
public final class EvenShare implements UpstreamShare {
    private final VmId self;
    private final Supplier<Collection<VmId>> routers;

    /**
     * Creates the shares of a router.
     *
     * @param self this router
     * @param routers supplies all listed routers; contains this one once it is listed too
     */
    public EvenShare(VmId self, Supplier<Collection<VmId>> routers) {
        this.self = self;
        this.routers = routers;
    }

    @Override
    public int of(UpstreamId upstream, double all) {
        Collection<VmId> fleet = routers.get();
        if (!fleet.contains(self)) {
            return all < 1 ? 0 : 1;
        }
        int total = (int) all;
        int remainder = total % fleet.size();
        int extra = remainder > 0 && rank(upstream, fleet) < remainder ? 1 : 0;
        return total / fleet.size() + extra;
    }

    @Override
    public int routers() {
        return Math.max(1, routers.get().size());
    }

    private int rank(UpstreamId upstream, Collection<VmId> fleet) {
        long ownHash = hash(upstream, self);
        int before = 0;
        for (VmId each : fleet) {
            if (!each.equals(self) && hash(upstream, each) < ownHash) {
                before++;
            }
        }
        return before;
    }

    private static long hash(UpstreamId upstream, VmId router) {
        CRC32 hash = new CRC32();
        hash.update((upstream.value() + '/' + router.value()).getBytes(StandardCharsets.UTF_8));
        return hash.getValue();
    }
}
