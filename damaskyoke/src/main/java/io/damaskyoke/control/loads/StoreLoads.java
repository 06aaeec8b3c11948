package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * How much of the weight store is in use.
 *
 * <p>The store runs a few loads at once at full speed; more make each other slower, so that all of
 * them come late. It also allows only so many to begin within some seconds.
 */
final class StoreLoads {
    /** Loads ahead of need leave one of the four that run at full speed to a request. */
    static final int MOST_AHEAD = 3;

    /** As many run at full speed; more would make all of them late. */
    static final int MOST = 4;

    /** The part of the allowed rate that is used: loads of the leader before this one count too. */
    private static final double PART = 0.8;

    private final Duration window;
    private final ArrayDeque<Instant> begun = new ArrayDeque<>();

    StoreLoads(Duration window) {
        this.window = window;
    }

    boolean allows(EngineSpec spec, Collection<Engine> engines, boolean needed, Instant now) {
        while (!begun.isEmpty() && begun.peek().plus(window).isBefore(now)) {
            begun.remove();
        }
        double most = Math.max(1, spec.loadsPerSecond() * window.toMillis() / 1000.0 * PART);
        return begun.size() + 1 <= most && running(engines) < (needed ? MOST : MOST_AHEAD);
    }

    /** True if no load from the store is running. */
    boolean idle(Collection<Engine> engines) {
        return running(engines) == 0;
    }

    void begun(Instant now) {
        begun.add(now);
    }

    private static long running(Collection<Engine> engines) {
        return engines.stream()
                .map(Engine::pending)
                .filter(pending -> pending != null && pending.source() == LoadSource.STORE)
                .filter(pending -> pending.verb() == Verb.LOAD && !pending.model().adapted())
                .count();
    }
}
