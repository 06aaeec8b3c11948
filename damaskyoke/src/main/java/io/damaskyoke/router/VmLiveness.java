package io.damaskyoke.router;

import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.wire.Frame;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Records when a frame was last received from each VM. Thread-safe. */
final class VmLiveness implements PeerListener {
    private static final Duration RECENT = Duration.ofSeconds(10);

    private final InstantSource clock;
    private final Map<VmId, Instant> lastReceived = new ConcurrentHashMap<>();

    VmLiveness(InstantSource clock) {
        this.clock = clock;
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        link.remote().ifPresent(hello -> lastReceived.put(VmId.of(hello.getVm()), clock.instant()));
    }

    /** Returns the VMs that sent a frame in the last 10 seconds, and drops the others. */
    Set<VmId> recentlyHeardFrom(Instant now) {
        lastReceived.values().removeIf(at -> at.plus(RECENT).isBefore(now));
        return lastReceived.keySet().stream().collect(Collectors.toUnmodifiableSet());
    }
}
