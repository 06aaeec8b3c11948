package io.damaskyoke.direct;

import io.damaskyoke.control.cold.EvenShare;
import io.damaskyoke.control.cold.UpstreamShare;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * A router of a {@link LimitSimulation}, with the real table, selection, queue and announcements.
 */
final class LimitSimulationRouter {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration DOWN = Duration.ofMillis(1_200);
    private static final Duration CALLER_WAITS = Duration.ofSeconds(2);

    private final LimitSimulation simulation;
    private final VmId name;
    private final UpstreamShare share;
    private UpstreamTable upstreams;
    private UpstreamDispatcher dispatcher;
    private DeclaredLimits limits;
    private int incarnation;

    LimitSimulationRouter(LimitSimulation simulation, VmId name) {
        this.simulation = simulation;
        this.name = name;
        this.share =
                simulation.rules().shared()
                        ? new EvenShare(name, simulation::routerNames)
                        : (upstream, all) -> (int) all;
    }

    VmId name() {
        return name;
    }

    /** Kills the router; it starts again later without its state. */
    void restart() {
        incarnation++;
        dispatcher = null;
        simulation.engines().forEach(engine -> engine.routerRestarted(name));
        simulation.time.after(DOWN, this::start);
    }

    void start() {
        int own = ++incarnation;
        upstreams = new UpstreamTable();
        simulation.engines().forEach(engine -> upstreams.put(engine.facts(), simulation.now()));
        dispatcher =
                new UpstreamDispatcher(
                        upstreams, "a", Map.of(), simulation::now, Runnable::run, share);
        limits = new DeclaredLimits(simulation::now, upstreams, new SimulatedAnnouncer());
        every(own, TICK, () -> dispatcher.tick());
        every(own, ANNOUNCEMENT_INTERVAL, () -> limits.announceAgain());
    }

    private void every(int own, Duration period, Runnable step) {
        simulation.time.after(
                period,
                () -> {
                    if (incarnation == own) {
                        step.run();
                        every(own, period, step);
                    }
                });
    }

    void sendRequest() {
        if (dispatcher != null) {
            dispatcher.enqueue(new Request());
        }
    }

    void announcementReceived(DeclaredLimits.Announcement announcement, boolean passOn) {
        if (dispatcher != null) {
            limits.announcementReceived(announcement, passOn);
            dispatcher.tick();
        }
    }

    private final class SimulatedAnnouncer implements DeclaredLimits.Announcer {
        @Override
        public void announceLimit(DeclaredLimits.Announcement announcement) {
            simulation.announce(LimitSimulationRouter.this, announcement);
        }

        @Override
        public void forwardLimit(DeclaredLimits.Announcement announcement) {
            if (simulation.isWatcher(LimitSimulationRouter.this)) {
                simulation.announce(LimitSimulationRouter.this, announcement);
            }
        }
    }

    private final class Request extends SimulatedRequest {
        Request() {
            super(LimitSimulation.SERVICE, simulation.now(), CALLER_WAITS);
        }

        @Override
        public void sendTo(Upstream upstream) {
            int own = incarnation;
            Instant sentAt = simulation.now();
            LimitSimulation.SimulatedUpstream engine = simulation.engine(upstream.facts().id());
            upstream.requestAssigned(null, sentAt);
            upstream.requestSent(sentAt);
            simulation.time.after(Duration.ofMillis(1), () -> engine.requestArrived(name));
            Duration takes = Duration.ofMillis(20 + simulation.random.nextInt(300));
            simulation.time.after(
                    takes,
                    () -> {
                        if (incarnation == own) {
                            answered(upstream, engine, sentAt, takes);
                        }
                    });
        }

        private void answered(
                Upstream upstream,
                LimitSimulation.SimulatedUpstream engine,
                Instant sentAt,
                Duration took) {
            upstream.requestAnswered(took, simulation.now());
            upstream.requestFinished(null);
            engine.answerPassedOnBy(name);
            limits.limitReceived(upstream, engine.limit(), sentAt);
            simulation.recordServed();
            dispatcher.sendQueued(LimitSimulation.SERVICE);
        }

        @Override
        public void handleNoUpstream() {
            simulation.recordRefused();
        }
    }
}
