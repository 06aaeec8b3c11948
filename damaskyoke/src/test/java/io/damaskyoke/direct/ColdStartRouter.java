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
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** How long a killed router process is down before it listens again and reads the list. */
    private static final Duration DOWN = Duration.ofMillis(1_200);

    private static final Duration FIRST_READ_TIME = Duration.ofMillis(150);
    private static final Duration CALLER_WAITS = Duration.ofSeconds(4);

    private final ColdStartSimulation simulation;
    private final VmId name;
    private final UpstreamShare share;
    private UpstreamTable upstreams;
    private UpstreamDispatcher dispatcher;
    private int incarnation;
    private Instant cutOffUntil = Instant.MIN;
    private Instant lastDeliveryAt = Instant.MIN;

    ColdStartRouter(ColdStartSimulation simulation, VmId name) {
        this.simulation = simulation;
        this.name = name;
        this.share =
                simulation.rules().shared()
                        ? new EvenShare(name, simulation::routerNames)
                        : (upstream, all) -> Integer.MAX_VALUE;
    }

    VmId name() {
        return name;
    }

    /** Kills the router; it starts again later without its state. */
    void restart() {
        incarnation++;
        upstreams = new UpstreamTable();
        int own = incarnation;
        simulation.time.after(
                DOWN,
                () -> {
                    if (incarnation == own) {
                        start();
                    }
                });
    }

    /** Starts the router, which knows only the list. */
    void start() {
        int own = ++incarnation;
        upstreams = new UpstreamTable();
        upstreams.setColdLimits(Map.of(ColdStartSimulation.SERVICE, simulation.limit()));
        dispatcher =
                new UpstreamDispatcher(
                        upstreams, "zone-0", Map.of(), simulation::now, Runnable::run, share);
        Map<String, UpstreamFacts> read = Map.copyOf(simulation.list());
        simulation.time.after(
                FIRST_READ_TIME,
                () -> {
                    if (incarnation == own) {
                        read.values().forEach(this::addFirst);
                    }
                });
        tick(own);
    }

    private void addFirst(UpstreamFacts facts) {
        upstreams.put(facts, simulation.now());
        if (simulation.rules().assumeLostCold() && incarnation > 1) {
            upstreams.find(facts.id()).ifPresent(each -> each.markUnverified(simulation.now()));
        }
    }

    private void tick(int own) {
        simulation.time.after(
                TICK,
                () -> {
                    if (incarnation == own) {
                        dispatcher.tick();
                        tick(own);
                    }
                });
    }

    /** Cuts the router off from the list and from announcements for the given time. */
    void cutOff(Duration length) {
        cutOffUntil = simulation.now().plus(length);
    }

    /** Receives an entry after this time; entries keep their order. */
    void entryWritten(UpstreamFacts facts, Duration after) {
        later(after, () -> upstreams.put(facts, simulation.now()));
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
        Instant at = latest(simulation.now().plus(after), latest(cutOffUntil, lastDeliveryAt));
        lastDeliveryAt = at;
        int own = incarnation;
        simulation.time.after(
                Duration.between(simulation.now(), at),
                () -> {
                    if (incarnation == own) {
                        step.run();
                    }
                });
    }

    private static Instant latest(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    void sendRequest() {
        if (upstreams.all().isEmpty()) {
            simulation.recordRefused();
            return;
        }
        Request request = new Request();
        dispatcher.enqueue(request);
        if (!request.sent) {
            simulation.recordQueued();
        }
    }

    private void connectionLost(Upstream upstream) {
        if (simulation.rules().assumeLostCold() && upstream.connectionLost(simulation.now())) {
            simulation.announceLoss(this, upstream.facts().id());
        }
    }

    /** Receives the announcement that another router lost its connection to an upstream. */
    void lossReceived(UpstreamId upstream) {
        if (!simulation.now().isBefore(cutOffUntil)) {
            upstreams.find(upstream).ifPresent(each -> each.connectionLost(simulation.now()));
        }
    }

    /** A request on its way from a caller to an upstream. */
    private final class Request extends SimulatedRequest {
        private final int ownIncarnation = incarnation;
        private boolean sent;
        private Instant assignedAt;

        Request() {
            super(ColdStartSimulation.SERVICE, simulation.now(), CALLER_WAITS);
        }

        @Override
        public void sendTo(Upstream upstream) {
            sent = true;
            assignedAt = simulation.now();
            upstream.requestAssigned(null, assignedAt);
            simulation.time.after(NETWORK_DELAY, () -> connect(upstream));
        }

        // Opens the connection, or fails to.
        private void connect(Upstream upstream) {
            ColdStartUpstream engine = simulation.engine(upstream.facts().id().value());
            if (ownIncarnation != incarnation) {
                return;
            }
            if (!engine.isUp()) {
                simulation.time.after(
                        engine.isSilent() ? CONNECT_TIMEOUT : NETWORK_DELAY,
                        () -> notConnected(upstream));
                return;
            }
            long engineIncarnation = engine.incarnation();
            upstream.requestSent(simulation.now());
            simulation.time.after(NETWORK_DELAY, engine::requestArrived);
            long takes = 30 + simulation.random.nextInt(60);
            simulation.time.after(
                    Duration.ofMillis(takes), () -> finish(upstream, engine, engineIncarnation));
        }

        private void notConnected(Upstream upstream) {
            if (ownIncarnation != incarnation) {
                return;
            }
            upstream.requestFailed(assignedAt, simulation.now());
            connectionLost(upstream);
            upstream.requestNotSent();
            upstream.requestFinished(null);
            dispatcher.enqueue(this);
        }

        private void finish(Upstream upstream, ColdStartUpstream engine, long engineIncarnation) {
            if (ownIncarnation != incarnation) {
                return;
            }
            if (engine.isUp() && engine.incarnation() == engineIncarnation) {
                upstream.requestAnswered(Duration.ofMillis(40), simulation.now());
            } else {
                upstream.requestFailed(assignedAt, simulation.now());
                connectionLost(upstream);
                simulation.recordRefused();
            }
            upstream.requestFinished(null);
            dispatcher.sendQueued(ColdStartSimulation.SERVICE);
        }

        @Override
        public void handleNoUpstream() {
            simulation.recordRefused();
        }
    }
}
