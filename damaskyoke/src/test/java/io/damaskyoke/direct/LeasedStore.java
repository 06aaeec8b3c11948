package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.FakeStore;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** A store for tests whose leases expire by the simulated clock, for all routers that use it. */
final class LeasedStore {
    private static final Duration SWEEP = Duration.ofMillis(20);

    private final ControlThread world;
    private final FakeStore store;
    private final Map<Long, Term> terms = new HashMap<>();

    private record Term(Duration length, Instant end) {}

    LeasedStore(ControlThread world) {
        this.world = world;
        this.store = new FakeStore(world);
        world.every(SWEEP, this::sweep);
    }

    FakeStore store() {
        return store;
    }

    void recordGrant(long lease, Duration term) {
        terms.put(lease, new Term(term, world.clock().instant().plus(term)));
    }

    void recordKeepAlive(long lease) {
        Term known = terms.get(lease);
        if (known != null) {
            recordGrant(lease, known.length());
        }
    }

    private void sweep() {
        Instant now = world.clock().instant();
        for (Long lease : Map.copyOf(terms).keySet()) {
            if (now.isAfter(terms.get(lease).end())) {
                terms.remove(lease);
                store.expire(lease);
            }
        }
    }
}
