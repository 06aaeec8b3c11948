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
    private static final Duration CHECK = Duration.ofMillis(50);
    private static final Duration AGAIN = Duration.ofSeconds(1);
    private static final Duration DOWN = Duration.ofMillis(1_200);
    private static final Duration CALLER_WAITS = Duration.ofSeconds(2);

    private final LimitSimulation world;
    private final VmId name;
    private final UpstreamShare share;
    private UpstreamTable upstreams;
    private Dispatch dispatch;
    private DeclaredLimits limits;
    private int life;

    LimitSimulationRouter(LimitSimulation world, VmId name) {
        this.world = world;
        this.name = name;
        this.share =
                world.rules().shared()
                        ? new EvenShare(name, world::routerNames)
                        : (upstream, all) -> (int) all;
    }

    VmId name() {
        return name;
    }

    /** Kills the router; it starts again later without its state. */
    void restart() {
        life++;
        dispatch = null;
        world.engines().forEach(engine -> engine.routerRestarted(name));
        world.time.after(DOWN, this::start);
    }

    void start() {
        int own = ++life;
        upstreams = new UpstreamTable();
        world.engines().forEach(engine -> upstreams.put(engine.facts(), world.now()));
        dispatch = new Dispatch(upstreams, "a", Map.of(), world::now, Runnable::run, share);
        limits = new DeclaredLimits(world::now, upstreams, new Wire());
        every(own, CHECK, () -> dispatch.tick());
        every(own, AGAIN, () -> limits.announceAgain());
    }

    private void every(int own, Duration period, Runnable step) {
        world.time.after(
                period,
                () -> {
                    if (life == own) {
                        step.run();
                        every(own, period, step);
                    }
                });
    }

    void sendRequest() {
        if (dispatch != null) {
            dispatch.enqueue(new Request());
        }
    }

    void announcementReceived(DeclaredLimits.Announcement news, boolean passOn) {
        if (dispatch != null) {
            limits.announcementReceived(news, passOn);
            dispatch.tick();
        }
    }

    private final class Wire implements DeclaredLimits.Announcer {
        @Override
        public void announceLimit(DeclaredLimits.Announcement news) {
            world.announce(LimitSimulationRouter.this, news);
        }

        @Override
        public void forwardLimit(DeclaredLimits.Announcement news) {
            if (world.isWatcher(LimitSimulationRouter.this)) {
                world.announce(LimitSimulationRouter.this, news);
            }
        }
    }

    private final class Request extends PlainRequest {
        Request() {
            super(LimitSimulation.SERVICE, world.now(), CALLER_WAITS);
        }

        @Override
        public void sendTo(Upstream upstream) {
            int own = life;
            Instant sentAt = world.now();
            LimitSimulation.SimulatedUpstream engine = world.engine(upstream.facts().id());
            upstream.requestAssigned(null, sentAt);
            upstream.requestSent(sentAt);
            world.time.after(Duration.ofMillis(1), () -> engine.requestArrived(name));
            Duration takes = Duration.ofMillis(20 + world.random.nextInt(300));
            world.time.after(
                    takes,
                    () -> {
                        if (life == own) {
                            answered(upstream, engine, sentAt, takes);
                        }
                    });
        }

        private void answered(
                Upstream upstream,
                LimitSimulation.SimulatedUpstream engine,
                Instant sentAt,
                Duration took) {
            upstream.requestAnswered(took, world.now());
            upstream.requestFinished(null);
            engine.answerPassedOnBy(name);
            limits.limitReceived(upstream, engine.limit(), sentAt);
            world.recordServed();
            dispatch.drain(LimitSimulation.SERVICE);
        }

        @Override
        public void waitedInVain() {
            world.recordRefused();
        }
    }
}
