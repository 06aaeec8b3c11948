package io.damaskyoke.direct;

import io.damaskyoke.control.cold.EvenShare;
import io.damaskyoke.control.cold.UpstreamShare;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * A router of a {@link ColdStartSimulation}, with the real upstream table, upstream selection and
 * queue in front of simulated upstreams.
 */
final class ColdStartRouter {
    private static final Duration CHECK = Duration.ofMillis(50);
    private static final Duration WAY = Duration.ofMillis(1);
    private static final Duration DARK = Duration.ofMillis(250);

    /** How long a killed router process is down before it listens again and reads the list. */
    private static final Duration DOWN = Duration.ofMillis(1_200);

    private static final Duration FIRST_READING = Duration.ofMillis(150);
    private static final Duration CALLER_WAITS = Duration.ofSeconds(4);

    private final ColdStartSimulation world;
    private final VmId name;
    private final UpstreamShare share;
    private UpstreamTable upstreams;
    private Dispatch dispatch;
    private int life;
    private Instant cutUntil = Instant.MIN;
    private Instant toldUntil = Instant.MIN;

    ColdStartRouter(ColdStartSimulation world, VmId name) {
        this.world = world;
        this.name = name;
        this.share =
                world.rules().shared()
                        ? new EvenShare(name, world::routerNames)
                        : (upstream, all) -> Integer.MAX_VALUE;
    }

    VmId name() {
        return name;
    }

    /** Kills the router; it starts again later without its state. */
    void restart() {
        life++;
        upstreams = new UpstreamTable();
        int own = life;
        world.time.after(
                DOWN,
                () -> {
                    if (life == own) {
                        start();
                    }
                });
    }

    /** Starts the router, which knows only the list. */
    void start() {
        int own = ++life;
        upstreams = new UpstreamTable();
        upstreams.setColdLimits(Map.of(ColdStartSimulation.SERVICE, world.limit()));
        dispatch = new Dispatch(upstreams, "zone-0", Map.of(), world::now, Runnable::run, share);
        Map<String, UpstreamFacts> read = Map.copyOf(world.list());
        world.time.after(
                FIRST_READING,
                () -> {
                    if (life == own) {
                        read.values().forEach(this::takeFirst);
                    }
                });
        tick(own);
    }

    private void takeFirst(UpstreamFacts facts) {
        upstreams.put(facts, world.now());
        if (world.rules().doubting() && life > 1) {
            upstreams.find(facts.id()).ifPresent(each -> each.markUnverified(world.now()));
        }
    }

    private void tick(int own) {
        world.time.after(
                CHECK,
                () -> {
                    if (life == own) {
                        dispatch.tick();
                        tick(own);
                    }
                });
    }

    /** Cuts the router off from the list and from announcements for the given time. */
    void cutOff(Duration length) {
        cutUntil = world.now().plus(length);
    }

    /** Receives an entry after this time; entries keep their order. */
    void entryWritten(UpstreamFacts facts, Duration after) {
        later(after, () -> upstreams.put(facts, world.now()));
    }

    void entryRemoved(String id, Duration after) {
        later(
                after,
                () ->
                        upstreams
                                .find(UpstreamId.of(id))
                                .ifPresent(
                                        each ->
                                                upstreams.remove(
                                                        UpstreamId.of(id),
                                                        each.facts().revision())));
    }

    private void later(Duration after, Runnable step) {
        Instant at = latest(world.now().plus(after), latest(cutUntil, toldUntil));
        toldUntil = at;
        int own = life;
        world.time.after(
                Duration.between(world.now(), at),
                () -> {
                    if (life == own) {
                        step.run();
                    }
                });
    }

    private static Instant latest(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    void sendRequest() {
        if (upstreams.all().isEmpty()) {
            world.recordRefused();
            return;
        }
        Request request = new Request();
        dispatch.enqueue(request);
        if (!request.sent) {
            world.recordQueued();
        }
    }

    private void lost(Upstream upstream) {
        if (world.rules().doubting() && upstream.connectionLost(world.now())) {
            world.announceLoss(this, upstream.facts().id());
        }
    }

    /** Receives the announcement that another router lost its connection to an upstream. */
    void lossReceived(UpstreamId upstream) {
        if (!world.now().isBefore(cutUntil)) {
            upstreams.find(upstream).ifPresent(each -> each.connectionLost(world.now()));
        }
    }

    /** A request on its way from a caller to an upstream. */
    private final class Request extends PlainRequest {
        private final int ownLife = life;
        private boolean sent;

        Request() {
            super(ColdStartSimulation.SERVICE, world.now(), CALLER_WAITS);
        }

        @Override
        public void sendTo(Upstream upstream) {
            sent = true;
            upstream.requestAssigned(null, world.now());
            world.time.after(WAY, () -> leave(upstream));
        }

        // Opens the connection, or fails to.
        private void leave(Upstream upstream) {
            ColdStartUpstream engine = world.engine(upstream.facts().id().value());
            if (ownLife != life) {
                return;
            }
            if (!engine.isUp()) {
                world.time.after(engine.isSilent() ? DARK : WAY, () -> notConnected(upstream));
                return;
            }
            long engineLife = engine.incarnation();
            upstream.requestSent(world.now());
            world.time.after(WAY, engine::requestArrived);
            long takes = 30 + world.random.nextInt(60);
            world.time.after(Duration.ofMillis(takes), () -> ends(upstream, engine, engineLife));
        }

        private void notConnected(Upstream upstream) {
            if (ownLife != life) {
                return;
            }
            upstream.requestFailed(world.now());
            lost(upstream);
            upstream.requestNotSent();
            upstream.requestFinished(null);
            dispatch.enqueue(this);
        }

        private void ends(Upstream upstream, ColdStartUpstream engine, long engineLife) {
            if (ownLife != life) {
                return;
            }
            if (engine.isUp() && engine.incarnation() == engineLife) {
                upstream.requestAnswered(Duration.ofMillis(40), world.now());
            } else {
                upstream.requestFailed(world.now());
                lost(upstream);
                world.recordRefused();
            }
            upstream.requestFinished(null);
            dispatch.drain(ColdStartSimulation.SERVICE);
        }

        @Override
        public void waitedInVain() {
            world.recordRefused();
        }
    }
}
