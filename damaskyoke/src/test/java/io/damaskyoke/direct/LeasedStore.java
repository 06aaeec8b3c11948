package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.FakeStore;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** A store for tests whose leases expire by the simulated clock, for all routers that use it. */
final class LeasedStore {
    private static final Duration SWEEP_PERIOD = Duration.ofMillis(20);

    private final ControlThread world;
    private final FakeStore store;
    private final Map<Long, Lease> leases = new HashMap<>();

    private record Lease(Duration duration, Instant expiry) {}

    LeasedStore(ControlThread world) {
        this.world = world;
        this.store = new FakeStore(world);
        world.every(SWEEP_PERIOD, this::sweep);
    }

    FakeStore store() {
        return store;
    }

    void recordGrant(long lease, Duration duration) {
        leases.put(lease, new Lease(duration, world.clock().instant().plus(duration)));
    }

    void recordKeepAlive(long lease) {
        Lease known = leases.get(lease);
        if (known != null) {
            recordGrant(lease, known.duration());
        }
    }

    private void sweep() {
        Instant now = world.clock().instant();
        for (Long lease : Map.copyOf(leases).keySet()) {
            if (now.isAfter(leases.get(lease).expiry())) {
                leases.remove(lease);
                store.expire(lease);
            }
        }
    }
}
