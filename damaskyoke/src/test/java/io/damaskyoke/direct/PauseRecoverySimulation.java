package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.TestFacts;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamTable;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Routers before upstreams that ask for a pause when they are full, and that are full for a while
 * in turns, in virtual time.
 */
final class PauseRecoverySimulation {
    private static final String SERVICE = "service";
    private static final int UPSTREAMS = 8;
    private static final int SLOTS = 8;
    private static final int QUEUE = 8;
    private static final Duration RUN_TIME = Duration.ofMillis(60);
    private static final Duration HOP = Duration.ofMillis(1);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration CALLER_WAITS = Duration.ofSeconds(1);
    private static final double LOAD = 0.8;

    private final TestControlThread time = new TestControlThread();
    private final Random random;
    private final boolean gradual;
    private final List<Router> routers = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private int sent;
    private int served;
    private int rejected;

    /**
     * Creates routers and upstreams.
     *
     * @param gradual whether an upstream is filled again gradually after a pause
     */
    PauseRecoverySimulation(int routerCount, long seed, boolean gradual) {
        this.random = new Random(seed);
        this.gradual = gradual;
        for (int each = 0; each < UPSTREAMS; each++) {
            engines.add(new Engine());
        }
        for (int each = 0; each < routerCount; each++) {
            routers.add(new Router());
        }
    }

    /** Plays this many seconds; each three seconds one upstream takes nothing for a while. */
    PauseRecoverySimulation play(int seconds) {
        double perMilli = LOAD * UPSTREAMS * SLOTS / RUN_TIME.toMillis();
        for (int milli = 0; milli < seconds * 1_000; milli++) {
            time.advance(Duration.ofMillis(1));
            if (milli % 3_000 == 1_000) {
                engines.get(random.nextInt(UPSTREAMS)).closedUntil =
                        now().plusMillis(2_000 + random.nextInt(2_000));
            }
            for (double left = perMilli; left > random.nextDouble(); left--) {
                routers.get(random.nextInt(routers.size())).arrive();
            }
        }
        return this;
    }

    /** Returns the part of the callers' requests that were served. */
    double servedShare() {
        return served / (double) sent;
    }

    /** Returns the number of requests that upstreams rejected, for each 1,000 of the callers'. */
    double rejectedPerThousand() {
        return 1_000.0 * rejected / sent;
    }

    private Instant now() {
        return time.clock().instant();
    }

    /** An upstream that runs a few requests at once and queues a few more. */
    private static final class Engine {
        private Instant closedUntil = Instant.MIN;
        private int present;
    }

    /** A router with the real table, selection and queue. */
    private final class Router {
        private final UpstreamTable table = new UpstreamTable();
        private final UpstreamDispatcher dispatcher =
                new UpstreamDispatcher(
                        table, "a", Map.of(), time.clock(), Runnable::run, (id, all) -> (int) all);

        Router() {
            for (int each = 0; each < UPSTREAMS; each++) {
                table.put(facts(each), now());
            }
            time.every(TICK, dispatcher::tick);
        }

        private UpstreamFacts facts(int engine) {
            return TestFacts.of(
                    "" + engine,
                    1,
                    SERVICE,
                    SLOTS,
                    new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, Map.of()));
        }

        void arrive() {
            sent++;
            dispatcher.arrive(new Request(this));
        }
    }

    /** A caller's request. */
    private final class Request extends SimulatedRequest {
        private final Router router;

        Request(Router router) {
            super(SERVICE, now(), CALLER_WAITS);
            this.router = router;
        }

        @Override
        public void sendTo(Upstream upstream) {
            Instant assignedAt = now();
            upstream.requestAssigned(null, assignedAt);
            if (gradual) {
                upstream.pause().requestAssigned();
            }
            upstream.requestSent(assignedAt);
            time.after(HOP, () -> reach(upstream, assignedAt));
        }

        private void reach(Upstream upstream, Instant assignedAt) {
            Engine engine = engines.get(Integer.parseInt(upstream.facts().id().value()));
            if (now().isBefore(engine.closedUntil) || engine.present >= SLOTS + QUEUE) {
                rejected++;
                Duration pause = Duration.ofMillis(2_000 + random.nextInt(2_000));
                time.after(HOP, () -> rejected(upstream, assignedAt, pause));
                return;
            }
            engine.present++;
            long slowdown = Math.max(1, (engine.present + SLOTS - 1) / SLOTS);
            time.after(
                    RUN_TIME.multipliedBy(slowdown),
                    () -> {
                        engine.present--;
                        time.after(HOP, () -> answered(upstream, assignedAt));
                    });
        }

        private void rejected(Upstream upstream, Instant assignedAt, Duration pause) {
            upstream.requestRejected(now(), Duration.ZERO);
            finish(upstream, assignedAt);
            router.table.pauseRequested(upstream.facts().id(), pause, now());
            router.dispatcher.enqueue(this);
        }

        private void answered(Upstream upstream, Instant assignedAt) {
            served++;
            upstream.requestAnswered(Duration.between(assignedAt, now()), now());
            if (gradual) {
                upstream.pause().requestAnswered(assignedAt);
            }
            finish(upstream, assignedAt);
            router.dispatcher.sendQueued(SERVICE);
        }

        private void finish(Upstream upstream, Instant assignedAt) {
            upstream.requestFinished(null);
            if (gradual) {
                upstream.pause().requestFinished(assignedAt);
            }
        }

        @Override
        public void refuseAtArrival(Duration retryAfter) {
            // The caller gets a refusal.
        }

        @Override
        public void handleNoUpstream() {
            // The caller gets a refusal.
        }
    }
}
