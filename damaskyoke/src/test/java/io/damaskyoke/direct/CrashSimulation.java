package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A simulation, in virtual time, of routers in front of upstreams that crash for many reasons: one
 * at a time, several at once, some repeatedly. Callers send innocent requests, some of them
 * repeatedly, and perhaps a poison request, which crashes each upstream that runs it.
 */
final class CrashSimulation {
    /** The number of routers that count crashes for all, in a large fleet. */
    private static final int MOST_COUNTING = 12;

    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration DOWN = Duration.ofSeconds(3);
    private static final Duration LAPSES_AFTER = Duration.ofMillis(3_700);
    private static final int WAY_MILLIS = 15;
    private static final int LONGEST_RUN_MILLIS = 3_000;
    private static final int DEADLY_AFTER_MILLIS = 100;
    private static final int STORE_LAG_MILLIS = 1_000;
    private static final int LATE_MILLIS = 300;
    private static final int LONG_DEADLY_MILLIS = 2_000;
    private static final int LEAVES_BEFORE_MILLIS = 50;
    private static final Duration REBORN_AFTER = Duration.ofMillis(800);
    private static final Duration CUT_EACH = Duration.ofSeconds(3);
    private static final Duration CUT_FOR = Duration.ofSeconds(2);
    private static final Duration ROUTER_ENDS_EACH = Duration.ofSeconds(1);
    private static final int RACK = 4;
    private static final int POLLERS = 5;
    private static final int RETRIES = 1;
    private static final int ANSWERED = 200;
    private static final int FAILED = 500;
    private static final Duration KNOWN_BY = Duration.ofSeconds(3);
    private static final int ENDS_TO_KNOW = 3;

    private final TestControlThread world = new TestControlThread();
    private final Random random;
    private final Random trouble;
    private final Set<InjectedFault> hardships;
    private final Set<Integer> cutOff = new HashSet<>();
    private final Set<Integer> startedNow = new HashSet<>();
    private final UpstreamTable table = new UpstreamTable();
    private final List<Worker> workers = new ArrayList<>();
    private final List<PoisonRequestDetector> routers = new ArrayList<>();
    private final Map<RequestDigest, Integer> stored = new HashMap<>();
    private final RequestDigest deadly = new RequestDigest("deadly");
    private final List<Instant> deadlyEnds = new ArrayList<>();
    private int deadlySendsTooMany;
    private int deadlyRefused;
    private int innocentsRefused;
    private int ends;
    private int messages;
    private long innocents;
    private long revision;

    /** The true state of one upstream: its incarnation and the runs in progress. */
    private static final class Worker {
        private final UpstreamId id;
        private final List<Run> runs = new ArrayList<>();
        private long life = 1;
        private boolean up = true;

        Worker(UpstreamId id) {
            this.id = id;
        }
    }

    private record Run(RequestDigest request, int router, int retries, long life, Instant sentAt) {}

    CrashSimulation(long seed, int routerCount, int workerCount, InjectedFault... hardships) {
        this.random = new Random(seed);
        this.trouble = new Random(~seed);
        this.hardships = Set.of(hardships);
        for (int each = 0; each < workerCount; each++) {
            Worker worker = new Worker(UpstreamId.of("i-" + each));
            workers.add(worker);
            list(worker, false);
        }
        for (int each = 0; each < routerCount; each++) {
            routers.add(null);
        }
        restartAllRouters();
        if (has(InjectedFault.ROUTERS_END)) {
            world.every(ROUTER_ENDS_EACH, () -> startAgain(trouble.nextInt(routers.size())));
        }
        if (has(InjectedFault.ROUTERS_CUT)) {
            world.every(CUT_EACH, () -> cut(trouble.nextInt(routers.size())));
        }
    }

    private boolean has(InjectedFault hardship) {
        return hardships.contains(hardship);
    }

    private boolean oneIn(int many) {
        return trouble.nextInt(many) == 0;
    }

    private void startAgain(int index) {
        startedNow.add(index);
        start(index);
    }

    private void cut(int index) {
        cutOff.add(index);
        world.after(CUT_FOR, () -> cutOff.remove(index));
    }

    /** Restarts all routers, which keep only what the store holds. */
    void restartAllRouters() {
        for (int each = 0; each < routers.size(); each++) {
            start(each);
        }
    }

    private void start(int index) {
        boolean counts = index < MOST_COUNTING;
        PoisonRequestDetector router =
                new PoisonRequestDetector(
                        world,
                        newsOf(index),
                        this::look,
                        () -> counts,
                        () -> index == 0,
                        new Metrics());
        routers.set(index, router);
        soon(STORE_LAG_MILLIS, () -> readStore(index, router));
    }

    private void readStore(int index, PoisonRequestDetector router) {
        startedNow.remove(index);
        stored.forEach((request, trials) -> router.quarantineReadFromStore(request, trials));
    }

    /** Returns how many innocent requests were refused. */
    int innocentsRefused() {
        return innocentsRefused;
    }

    /** Returns how often the poison request was sent after all routers should know of it. */
    int lateSendsOfPoisonRequest() {
        return deadlySendsTooMany;
    }

    /** Returns how often the poison request was refused. */
    int poisonRequestsRefused() {
        return deadlyRefused;
    }

    /** Returns how many upstreams have crashed, for whatever reason. */
    int crashes() {
        return ends;
    }

    /** Returns how many messages the routers have sent. */
    int messages() {
        return messages;
    }

    /**
     * Advances the time.
     *
     * @param perSecond innocent requests a second
     * @param endsPerSecond unrelated crashes a second, some of them of several upstreams at once
     * @param deadlyPerSecond sends of the poison request a second
     */
    void advance(Duration time, double perSecond, double endsPerSecond, double deadlyPerSecond) {
        double seconds = TICK.toMillis() / 1000.0;
        for (Instant end = now().plus(time); now().isBefore(end); world.advance(TICK)) {
            for (double left = perSecond * seconds; chance(left); left--) {
                sendAll(innocent());
            }
            if (chance(endsPerSecond * seconds)) {
                endSome();
            }
            if (chance(deadlyPerSecond * seconds)) {
                sendAll(deadly);
            }
        }
    }

    private void sendAll(RequestDigest request) {
        send(request, RETRIES);
        if (has(InjectedFault.COPIES)) {
            send(request, RETRIES);
            send(request, RETRIES);
        }
    }

    // One request in four repeats one of a few polls; the others are sent only once.
    private RequestDigest innocent() {
        return random.nextInt(4) == 0
                ? new RequestDigest("poll-" + random.nextInt(POLLERS))
                : new RequestDigest("once-" + ++innocents);
    }

    private void endSome() {
        int first = random.nextInt(workers.size());
        int together = random.nextInt(4) == 0 ? 3 : 1;
        together = has(InjectedFault.RACKS) ? RACK : together;
        for (int each = 0; each < together; each++) {
            end(workers.get((first + each) % workers.size()));
        }
        // One in four crashes again soon after its restart.
        if (random.nextInt(4) == 0) {
            world.after(DOWN.plusSeconds(1), () -> end(workers.get(first)));
        }
    }

    private void send(RequestDigest request, int retries) {
        int index = random.nextInt(routers.size());
        PoisonRequestDetector router = routers.get(index);
        if (!router.isQuarantineEmpty() && router.tryAdmit(request).isPresent()) {
            innocentsRefused += request.equals(deadly) ? 0 : 1;
            deadlyRefused += request.equals(deadly) ? 1 : 0;
            return;
        }
        Worker worker = workers.get(random.nextInt(workers.size()));
        if (!worker.up) {
            router.upstreamUnreachable(table.find(worker.id).orElseThrow());
            return;
        }
        Run run = new Run(request, index, retries, worker.life, now());
        worker.runs.add(run);
        if (request.equals(deadly)) {
            countDeadly(index);
            runDeadly(worker, run);
        } else {
            soon(LONGEST_RUN_MILLIS, () -> answer(worker, run));
        }
    }

    private void runDeadly(Worker worker, Run run) {
        if (has(InjectedFault.FAILURES) && oneIn(10)) {
            soon(WAY_MILLIS, () -> answer(worker, run));
            return;
        }
        int runs = DEADLY_AFTER_MILLIS;
        if (has(InjectedFault.LONG_RUNS)) {
            runs += trouble.nextInt(LONG_DEADLY_MILLIS);
        }
        if (has(InjectedFault.CALLERS_LEAVE) && oneIn(3)) {
            world.after(
                    Duration.ofMillis(runs - LEAVES_BEFORE_MILLIS),
                    () -> callerLeaves(worker, run));
        }
        if (has(InjectedFault.DRAINING) && oneIn(2)) {
            soon(LEAVES_BEFORE_MILLIS, () -> drain(worker));
        }
        world.after(Duration.ofMillis(runs), () -> kill(worker, run));
    }

    private void callerLeaves(Worker worker, Run run) {
        if (worker.life == run.life() && worker.runs.remove(run)) {
            routers.get(run.router())
                    .recordCutRun(
                            table.find(worker.id).orElseThrow(),
                            run.request(),
                            run.sentAt(),
                            Cut.CALLER_GONE);
        }
    }

    private void drain(Worker worker) {
        if (worker.up) {
            list(worker, true);
        }
    }

    private void countDeadly(int router) {
        boolean inTouch = !cutOff.contains(router) && !startedNow.contains(router);
        boolean known =
                inTouch
                        && deadlyEnds.size() >= ENDS_TO_KNOW
                        && now().isAfter(deadlyEnds.get(ENDS_TO_KNOW - 1).plus(KNOWN_BY));
        deadlySendsTooMany += known ? 1 : 0;
    }

    private void kill(Worker worker, Run run) {
        if (worker.up && worker.life == run.life()) {
            deadlyEnds.add(now());
            end(worker);
        }
    }

    private void answer(Worker worker, Run run) {
        if (worker.life == run.life() && worker.runs.remove(run)) {
            PoisonRequestDetector router = routers.get(run.router());
            if (router.needsOutcomes()) {
                router.recordAnswer(run.request(), run.sentAt(), status(run.request()));
            }
        }
    }

    private int status(RequestDigest request) {
        boolean poll = request.value().startsWith("poll-");
        boolean fails = request.equals(deadly) || (poll && has(InjectedFault.FAILING_POLLS));
        return fails ? FAILED : ANSWERED;
    }

    private void end(Worker worker) {
        if (!worker.up) {
            return;
        }
        ends++;
        worker.up = false;
        List<Run> cut = List.copyOf(worker.runs);
        worker.runs.clear();
        var upstream = table.find(worker.id).orElseThrow();
        for (Run run : cut) {
            soon(
                    WAY_MILLIS,
                    () ->
                            routers.get(run.router())
                                    .recordCutRun(
                                            upstream, run.request(), run.sentAt(), Cut.BROKE));
            if (run.retries() > 0) {
                soon(500, () -> send(run.request(), run.retries() - 1));
            }
        }
        world.after(has(InjectedFault.REBORN) ? REBORN_AFTER : DOWN, () -> start(worker));
        world.after(
                LAPSES_AFTER,
                () -> routers.forEach(each -> each.upstreamListed(list(worker, false))));
    }

    private void start(Worker worker) {
        worker.life++;
        worker.up = true;
    }

    private UpstreamFacts list(Worker worker, boolean draining) {
        UpstreamFacts facts =
                new UpstreamFacts(
                        worker.id,
                        ++revision,
                        "service",
                        new Endpoint("127.0.0.1", 1),
                        "a",
                        16,
                        draining,
                        Duration.ZERO,
                        new HeldModels(worker.life, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of());
        table.put(facts, now());
        return facts;
    }

    private void look(
            Upstream upstream, boolean vouch, Consumer<UpstreamCrashDetector.ProbeResult> then) {
        boolean wrong = has(InjectedFault.WRONG_LOOKS) && oneIn(3);
        boolean up =
                wrong
                        || workers.stream()
                                .anyMatch(each -> each.id.equals(upstream.facts().id()) && each.up);
        soon(
                WAY_MILLIS,
                () ->
                        then.accept(
                                up
                                        ? UpstreamCrashDetector.ProbeResult.ALIVE
                                        : UpstreamCrashDetector.ProbeResult.ENDED));
    }

    private CrashAnnouncer newsOf(int from) {
        return new CrashAnnouncer() {
            @Override
            public void announceRunsAtCrash(
                    UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
                tell(from, MOST_COUNTING, router -> router.countCrash(end, ago, ran));
            }

            @Override
            public void announceCrash(UpstreamCrash end) {
                tell(from, routers.size(), router -> router.crashReceived(end, false));
            }

            @Override
            public void forwardCrash(UpstreamCrash end) {
                throw new IllegalStateException("each router announces to all in this simulation");
            }

            @Override
            public void announceWatched(RequestDigest request) {
                tell(from, routers.size(), router -> router.startWatching(request));
            }

            @Override
            public void announceQuarantined(Quarantine.Entry entry) {
                stored.putIfAbsent(entry.request(), entry.trials());
                tell(from, routers.size(), router -> router.quarantineReceived(entry));
            }

            @Override
            public void announceRefused(Quarantine.Entry entry) {
                tell(from, MOST_COUNTING, router -> router.quarantineReceived(entry));
            }

            @Override
            public void removeStored(RequestDigest request) {
                stored.remove(request);
            }

            @Override
            public void announceCleared(RequestDigest request, Duration sentAgo) {
                tell(from, routers.size(), router -> router.clearRequest(request, sentAgo));
            }

            @Override
            public void announceEarlierSuccess(RequestDigest request, Duration ago) {
                tell(from, MOST_COUNTING, router -> router.recordEarlierSuccess(request, ago));
            }

            @Override
            public void announceSurvivedRuns(RequestDigest request, int times) {
                tell(from, MOST_COUNTING, router -> router.addSurvivedRuns(request, times));
            }
        };
    }

    private void tell(int from, int most, Consumer<PoisonRequestDetector> what) {
        for (int each = 0; each < Math.min(most, routers.size()); each++) {
            if (each != from) {
                messages++;
                tellOne(from, each, what);
            }
        }
    }

    private void tellOne(int from, int to, Consumer<PoisonRequestDetector> what) {
        boolean lost = has(InjectedFault.NEWS_LOST) && oneIn(4);
        if (!lost && !cutOff.contains(from) && !cutOff.contains(to)) {
            int way = has(InjectedFault.NEWS_LATE) ? LATE_MILLIS : WAY_MILLIS;
            soon(way, () -> what.accept(routers.get(to)));
        }
    }

    private boolean chance(double expected) {
        return random.nextDouble() < expected;
    }

    private void soon(int mostMillis, Runnable step) {
        world.after(Duration.ofMillis(1 + random.nextInt(mostMillis)), step);
    }

    private Instant now() {
        return world.clock().instant();
    }
}
