package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.cold.RequestLimit;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.TestFacts;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.RetryAfter;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * The decisions of one router before upstreams that pause, leave, restart and answer late, in
 * virtual time; it counts what the upstreams get against their word.
 */
final class StatementSimulation {
    private static final String SERVICE = "service";
    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration HOP = Duration.ofMillis(1);
    private static final Duration GRACE = Duration.ofMillis(500);
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);
    private static final Duration CALLER_WAITS = Duration.ofSeconds(2);
    private static final Duration AT_ONCE = Duration.ofMillis(1_500);
    private static final int MOST_IN_PAUSE = 2;
    private static final int SLOTS = 100;

    private final TestControlThread time = new TestControlThread();
    private final Random random;
    private final Safeguards safeguards;
    private final List<Worker> workers = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private UpstreamTable table;
    private UpstreamDispatcher dispatcher;
    private UpstreamStatementHandler handler;
    private Instant heldUntil;
    private long revision;
    private int routerLife;
    private int servable;
    private int servedAtOnce;

    /** Which safeguards of the router are in place. */
    record Safeguards(boolean readsPauses, boolean readsDepartures, boolean checksBeforeSend) {
        static final Safeguards ALL = new Safeguards(true, true, true);
    }

    StatementSimulation(long seed, Safeguards safeguards) {
        this.random = new Random(seed);
        this.safeguards = safeguards;
        this.heldUntil = now();
        for (int each = 0; each < 4; each++) {
            workers.add(new Worker(UpstreamId.of("w" + each)));
        }
        startRouter();
    }

    /** Plays this many seconds and returns what broke. */
    List<String> play(int seconds) {
        int steps = seconds * 1_000 / (int) STEP.toMillis();
        for (int step = 0; step < steps; step++) {
            time.advance(STEP);
            if (random.nextBoolean()) {
                later(Duration.ZERO, this::arrive);
            }
            if (random.nextInt(10) == 0) {
                later(Duration.ZERO, dispatcher::tick);
            }
            disturb();
        }
        return violations;
    }

    /** Returns the part of the requests that some upstream would have taken and that were sent. */
    double shareServedAtOnce() {
        return servedAtOnce / (double) servable;
    }

    private void disturb() {
        Worker worker = workers.get(random.nextInt(workers.size()));
        switch (random.nextInt(1_600)) {
            case 0, 1, 2 -> worker.pauseUntil = now().plusMillis(200 + random.nextInt(2_500));
            case 3 -> worker.leave();
            case 4 -> worker.restart();
            case 5, 6 -> worker.list();
            case 7 -> worker.unlistForAWhile();
            case 8, 9 -> hold();
            case 10 -> startRouterSometimes();
            default -> {
                // Most steps disturb nothing.
            }
        }
    }

    private void startRouterSometimes() {
        if (random.nextInt(4) == 0) {
            startRouter();
        }
    }

    private void startRouter() {
        routerLife++;
        table = new UpstreamTable();
        dispatcher =
                new UpstreamDispatcher(
                        table, "a", Map.of(), time.clock(), Runnable::run, (id, all) -> (int) all);
        Metrics metrics = new Metrics();
        DeclaredLimits limits = new DeclaredLimits(time.clock(), table, new SilentAnnouncer());
        ReportedLoads loads = new ReportedLoads(time.clock(), table, metrics);
        AnnouncedDepartures departures =
                new AnnouncedDepartures(time.clock(), table, new SilentDepartures());
        handler =
                new UpstreamStatementHandler(
                        time.clock(), table, limits, loads, departures, metrics);
        workers.forEach(Worker::list);
    }

    private void arrive() {
        boolean anyTakes = workers.stream().anyMatch(Worker::takesRequests);
        Request request = new Request(anyTakes);
        servable += anyTakes ? 1 : 0;
        dispatcher.arrive(request);
    }

    private Instant now() {
        return time.clock().instant();
    }

    // What comes while the router's thread is held is processed afterwards, answers first.
    private void later(Duration delay, Runnable step) {
        atRouter(delay, Duration.ofNanos(1), routerLife, step);
    }

    private void read(Duration delay, Runnable step) {
        atRouter(delay, Duration.ZERO, routerLife, step);
    }

    private void atRouter(Duration delay, Duration afterHold, int life, Runnable step) {
        time.after(
                delay,
                () -> {
                    if (life != routerLife) {
                        return;
                    }
                    if (now().isBefore(heldUntil)) {
                        Duration left = Duration.between(now(), heldUntil);
                        atRouter(left.plus(afterHold), afterHold, life, step);
                    } else {
                        step.run();
                    }
                });
    }

    private void hold() {
        if (!now().isBefore(heldUntil)) {
            heldUntil = now().plusMillis(random.nextInt(450));
        }
    }

    /** A pause that a worker has asked the router for. */
    private static final class Pause {
        private final int routerLife;
        private final Instant from;
        private final Instant until;
        private int requests;

        Pause(int routerLife, Instant from, Instant until) {
            this.routerLife = routerLife;
            this.from = from;
            this.until = until;
        }
    }

    /** An upstream, through its incarnations. */
    private final class Worker {
        private final UpstreamId id;
        private final List<Pause> pauses = new ArrayList<>();
        private Instant pauseUntil = Instant.MIN;
        private Instant departurePassedOnAt = Instant.MAX;
        private int departureRouterLife;
        private boolean alive = true;
        private boolean leaving;
        private long listedBorn;
        private long born;

        Worker(UpstreamId id) {
            this.id = id;
            this.born = now().toEpochMilli() - 1;
        }

        boolean takesRequests() {
            return alive
                    && !leaving
                    && listedBorn == born
                    && !now().isBefore(pauseUntil)
                    && !isPausing();
        }

        private boolean isPausing() {
            return pauses.stream().anyMatch(each -> now().isBefore(each.until));
        }

        void leave() {
            leaving = true;
            time.after(Duration.ofSeconds(8), this::restart);
        }

        void restart() {
            alive = false;
            time.after(
                    Duration.ofMillis(500 + random.nextInt(1_500)),
                    () -> {
                        alive = true;
                        leaving = false;
                        pauseUntil = Instant.MIN;
                        departurePassedOnAt = Instant.MAX;
                        pauses.clear();
                        born = now().toEpochMilli();
                        time.after(Duration.ofMillis(random.nextInt(2_000)), this::list);
                    });
        }

        void list() {
            listedBorn = born;
            table.put(facts(), now());
        }

        void unlistForAWhile() {
            listedBorn = 0;
            table.remove(id, ++revision);
            time.after(Duration.ofMillis(300 + random.nextInt(2_000)), this::list);
        }

        private UpstreamFacts facts() {
            return TestFacts.of(
                    id.value(),
                    ++revision,
                    SERVICE,
                    SLOTS,
                    new HeldModels(born, HeldModels.UNKNOWN_SEQUENCE, Map.of()));
        }

        void requestArrived(Request request) {
            Instant departure = departurePassedOnAt;
            if (departureRouterLife == routerLife
                    && !departure.equals(Instant.MAX)
                    && request.arrivedAt().isAfter(departure.plus(DRAIN_TIME))) {
                violations.add("DRAIN " + id + " at " + now());
            }
            for (Pause pause : pauses) {
                boolean within = now().isAfter(pause.from) && now().isBefore(pause.until);
                if (within
                        && pause.routerLife == routerLife
                        && ++pause.requests == MOST_IN_PAUSE + 1) {
                    violations.add("BUDGET " + id + " at " + now());
                }
            }
        }

        /** Makes an answer; a pause that it asks for begins now. */
        UpstreamAnswer answer(Optional<UpstreamId> from) {
            if (now().isBefore(pauseUntil)) {
                Duration pause = Duration.ofMillis(100 + random.nextInt(4_000));
                pauses.add(new Pause(routerLife, now().plus(GRACE), now().plus(pause)));
                return answer(503, random.nextBoolean(), from, RetryAfter.of(pause));
            }
            int status = random.nextInt(20) == 0 ? 500 : 200;
            return answer(status, false, from, RetryAfter.NONE);
        }

        private UpstreamAnswer answer(
                int status, boolean notRun, Optional<UpstreamId> from, RetryAfter pause) {
            UpstreamStatements statements =
                    new UpstreamStatements(
                            from,
                            Optional.empty(),
                            0,
                            RequestLimit.NO_LIMIT,
                            safeguards.readsPauses() ? pause : RetryAfter.NONE,
                            safeguards.readsDepartures() && leaving);
            return new UpstreamAnswer(status, notRun, false, true, false, statements);
        }
    }

    /** A caller's request. */
    private final class Request extends SimulatedRequest {
        private final boolean countsAsServable;
        private boolean wasSent;

        Request(boolean countsAsServable) {
            super(SERVICE, now(), CALLER_WAITS);
            this.countsAsServable = countsAsServable;
        }

        @Override
        public void sendTo(Upstream upstream) {
            Instant assignedAt = now();
            upstream.requestAssigned(null, assignedAt);
            boolean opensConnection = random.nextBoolean();
            later(
                    Duration.ofMillis(opensConnection ? random.nextInt(900) : 0),
                    () -> write(upstream, assignedAt));
        }

        private void write(Upstream upstream, Instant assignedAt) {
            Worker worker = worker(upstream.facts().id());
            boolean held = safeguards.checksBeforeSend() && !upstream.maySend(now());
            if (held || !worker.alive) {
                upstream.requestUndecided();
                upstream.requestNotSent();
                upstream.requestFinished(null);
                if (!held) {
                    upstream.requestFailed(assignedAt, now());
                }
                dispatcher.enqueue(this);
                return;
            }
            upstream.requestSent(now());
            SentTo sentTo = SentTo.of(upstream, now());
            recordSent();
            long born = worker.born;
            time.after(HOP, () -> worker.requestArrived(this));
            int takes = random.nextInt(10) == 0 ? 1_500 : 5 + random.nextInt(120);
            time.after(Duration.ofMillis(takes), () -> answer(sentTo, worker, born));
        }

        private void recordSent() {
            boolean atOnce = !now().isAfter(arrivedAt().plus(AT_ONCE));
            if (countsAsServable && !wasSent && atOnce) {
                servedAtOnce++;
            }
            wasSent = true;
        }

        private void answer(SentTo sentTo, Worker worker, long born) {
            if (!worker.alive || worker.born != born) {
                later(HOP, () -> finish(sentTo.upstream()));
                return;
            }
            // Sometimes another worker, which was given the address, answers in its own name.
            Worker answering =
                    random.nextInt(30) == 0 ? workers.get(random.nextInt(workers.size())) : worker;
            UpstreamAnswer answer = answering.answer(Optional.of(answering.id));
            read(HOP, () -> receive(sentTo, answering, answer));
        }

        private void receive(SentTo sentTo, Worker answering, UpstreamAnswer answer) {
            handler.answerReceived(sentTo, answer.statements());
            if (answering.leaving && answering.departurePassedOnAt.equals(Instant.MAX)) {
                answering.departurePassedOnAt = now();
                answering.departureRouterLife = routerLife;
            }
            sentTo.upstream().requestAnswered(Duration.ofMillis(20), now());
            finish(sentTo.upstream());
        }

        private void finish(Upstream upstream) {
            upstream.requestFinished(null);
            dispatcher.sendQueued(SERVICE);
        }

        private Worker worker(UpstreamId id) {
            return workers.stream().filter(each -> each.id.equals(id)).findFirst().orElseThrow();
        }

        @Override
        public void handleNoUpstream() {
            // The caller gets a refusal.
        }
    }
}
