package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestIdentity;
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
import java.util.Optional;
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
    private static final int COUNTING_ROUTERS = 12;

    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration DOWN = Duration.ofSeconds(3);
    private static final Duration ENTRY_EXPIRY = Duration.ofMillis(3_700);
    private static final int MAX_DELAY_MILLIS = 15;
    private static final int MAX_RUN_MILLIS = 3_000;
    private static final int POISON_RUN_MILLIS = 100;
    private static final int STORE_LAG_MILLIS = 1_000;
    private static final int MAX_LATE_DELAY_MILLIS = 300;
    private static final int LONG_POISON_RUN_MILLIS = 2_000;
    private static final int LEAVES_BEFORE_MILLIS = 50;
    private static final Duration FAST_RESTART_TIME = Duration.ofMillis(800);
    private static final Duration CUT_OFF_INTERVAL = Duration.ofSeconds(3);
    private static final Duration CUT_OFF_TIME = Duration.ofSeconds(2);
    private static final Duration ROUTER_RESTART_INTERVAL = Duration.ofSeconds(1);
    private static final int RACK_SIZE = 4;
    private static final int RETRIES = 1;
    private static final int ANSWERED = 200;
    private static final int FAILED = 500;
    private static final Duration KNOWN_BY = Duration.ofSeconds(3);

    private final TestControlThread time = new TestControlThread();
    private final Random random;
    private final Random faultRandom;
    private final Set<InjectedFault> hardships;
    private final Set<Integer> cutOff = new HashSet<>();
    private final Set<Integer> restarting = new HashSet<>();
    private final UpstreamTable table = new UpstreamTable();
    private final List<Worker> workers = new ArrayList<>();
    private final List<PoisonRequestDetector> routers = new ArrayList<>();
    private final Map<CrashSuspect, Integer> stored = new HashMap<>();
    private final Map<Integer, Integer> currentStarts = new HashMap<>();
    private final SimulatedRequests requests;
    private final Map<CrashSuspect, List<Instant>> crashesByPoison = new HashMap<>();
    private final Map<CrashSuspect, Integer> lateSends = new HashMap<>();
    private int poisonRequestsRefused;
    private int innocentsRefused;
    private int lateInnocents;
    private int lateInnocentsRefused;
    private int crashes;
    private int messages;
    private int starts;
    private long revision;

    /** The true state of one upstream: its incarnation and the runs in progress. */
    private static final class Worker {
        private final UpstreamId id;
        private final List<Run> runs = new ArrayList<>();
        private long incarnation = 1;
        private boolean up = true;

        Worker(UpstreamId id) {
            this.id = id;
        }
    }

    private record Run(
            RequestIdentity request, int router, int retries, long incarnation, Instant sentAt) {}

    CrashSimulation(long seed, int routerCount, int workerCount, InjectedFault... hardships) {
        this(seed, routerCount, workerCount, new RepeatedPoisonRequest(), hardships);
    }

    CrashSimulation(
            long seed,
            int routerCount,
            int workerCount,
            SimulatedRequests requests,
            InjectedFault... hardships) {
        this.requests = requests;
        this.random = new Random(seed);
        this.faultRandom = new Random(~seed);
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
        if (has(InjectedFault.ROUTER_RESTARTS)) {
            time.every(
                    ROUTER_RESTART_INTERVAL,
                    () -> restartRouter(faultRandom.nextInt(routers.size())));
        }
        if (has(InjectedFault.ROUTERS_CUT_OFF)) {
            time.every(CUT_OFF_INTERVAL, () -> cutOffRouter(faultRandom.nextInt(routers.size())));
        }
    }

    private boolean has(InjectedFault hardship) {
        return hardships.contains(hardship);
    }

    private boolean oneIn(int many) {
        return faultRandom.nextInt(many) == 0;
    }

    private void restartRouter(int index) {
        restarting.add(index);
        start(index);
    }

    private void cutOffRouter(int index) {
        cutOff.add(index);
        time.after(CUT_OFF_TIME, () -> cutOff.remove(index));
    }

    /** Restarts all routers, which keep only what the store holds. */
    void restartAllRouters() {
        for (int each = 0; each < routers.size(); each++) {
            start(each);
        }
    }

    private void start(int index) {
        boolean counts = index < COUNTING_ROUTERS;
        PoisonRequestDetector router =
                new PoisonRequestDetector(
                        time,
                        announcerOf(index, ++starts),
                        this::probe,
                        () -> counts,
                        () -> index == 0,
                        new Metrics());
        routers.set(index, router);
        currentStarts.put(index, starts);
        soon(STORE_LAG_MILLIS, () -> readStore(index, router));
    }

    private void readStore(int index, PoisonRequestDetector router) {
        restarting.remove(index);
        stored.forEach((suspect, trials) -> router.quarantineReadFromStore(suspect, trials));
    }

    /** Returns how many innocent requests were refused. */
    int innocentsRefused() {
        return innocentsRefused;
    }

    /** Returns how many innocent requests were sent or refused when the cause should be known. */
    int lateInnocents() {
        return lateInnocents;
    }

    /** Returns how many of them were refused. */
    int lateInnocentsRefused() {
        return lateInnocentsRefused;
    }

    /**
     * Returns how often a poison was sent after all routers should know of it; of several poisons
     * the one that was sent most often.
     */
    int lateSendsOfPoisonRequest() {
        return lateSends.values().stream().mapToInt(each -> each).max().orElse(0);
    }

    /** Returns how often the poison request was refused. */
    int poisonRequestsRefused() {
        return poisonRequestsRefused;
    }

    /** Returns how many upstreams have crashed, for whatever reason. */
    int crashes() {
        return crashes;
    }

    /** Returns how many messages the routers have sent. */
    int messages() {
        return messages;
    }

    /**
     * Advances the time.
     *
     * @param perSecond innocent requests a second
     * @param crashesPerSecond unrelated crashes a second, some of them of several upstreams at once
     * @param poisonPerSecond sends of the poison request a second
     */
    void advance(
            Duration duration, double perSecond, double crashesPerSecond, double poisonPerSecond) {
        double seconds = TICK.toMillis() / 1000.0;
        for (Instant end = now().plus(duration); now().isBefore(end); time.advance(TICK)) {
            for (double left = perSecond * seconds; chance(left); left--) {
                sendAll(requests.innocent(random));
            }
            if (chance(crashesPerSecond * seconds)) {
                crashSome();
            }
            if (chance(poisonPerSecond * seconds)) {
                sendAll(requests.poison());
            }
        }
    }

    private void sendAll(RequestIdentity request) {
        send(request, RETRIES);
        if (has(InjectedFault.COPIES)) {
            send(request, RETRIES);
            send(request, RETRIES);
        }
    }

    private void crashSome() {
        int first = random.nextInt(workers.size());
        int together = random.nextInt(4) == 0 ? 3 : 1;
        together = has(InjectedFault.RACK_FAILURES) ? RACK_SIZE : together;
        for (int each = 0; each < together; each++) {
            crash(workers.get((first + each) % workers.size()));
        }
        // One in four crashes again soon after its restart.
        if (random.nextInt(4) == 0) {
            time.after(DOWN.plusSeconds(1), () -> crash(workers.get(first)));
        }
    }

    private void send(RequestIdentity request, int retries) {
        int index = random.nextInt(routers.size());
        PoisonRequestDetector router = routers.get(index);
        boolean refused = !router.isQuarantineEmpty() && router.tryAdmit(request).isPresent();
        countAdmission(request, refused);
        if (refused) {
            return;
        }
        Worker worker = workers.get(random.nextInt(workers.size()));
        if (!worker.up) {
            router.upstreamUnreachable(table.find(worker.id).orElseThrow());
            return;
        }
        Run run = new Run(request, index, retries, worker.incarnation, now());
        worker.runs.add(run);
        Optional<CrashSuspect> poison = requests.poisonIn(request);
        if (poison.isPresent()) {
            countPoisonRequest(poison.get(), index);
            runPoisonRequest(worker, run, poison.get());
        } else {
            soon(MAX_RUN_MILLIS, () -> answer(worker, run));
        }
    }

    private void countAdmission(RequestIdentity request, boolean refused) {
        if (requests.poisonIn(request).isPresent()) {
            poisonRequestsRefused += refused ? 1 : 0;
            return;
        }
        boolean late = allKnownFor(KNOWN_BY.multipliedBy(2));
        innocentsRefused += refused ? 1 : 0;
        lateInnocents += late ? 1 : 0;
        lateInnocentsRefused += late && refused ? 1 : 0;
    }

    private void runPoisonRequest(Worker worker, Run run, CrashSuspect poison) {
        if (has(InjectedFault.ERROR_ANSWERS) && oneIn(10)) {
            soon(MAX_DELAY_MILLIS, () -> answer(worker, run));
            return;
        }
        int runs = POISON_RUN_MILLIS;
        if (has(InjectedFault.LONG_RUNS)) {
            runs += faultRandom.nextInt(LONG_POISON_RUN_MILLIS);
        }
        if (has(InjectedFault.CALLERS_LEAVE) && oneIn(3)) {
            time.after(
                    Duration.ofMillis(runs - LEAVES_BEFORE_MILLIS),
                    () -> callerLeaves(worker, run));
        }
        if (has(InjectedFault.DRAINING) && oneIn(2)) {
            soon(LEAVES_BEFORE_MILLIS, () -> drain(worker));
        }
        time.after(Duration.ofMillis(runs), () -> kill(worker, run, poison));
    }

    private void callerLeaves(Worker worker, Run run) {
        if (worker.incarnation == run.incarnation() && worker.runs.remove(run)) {
            routers.get(run.router())
                    .recordCutRun(
                            table.find(worker.id).orElseThrow(),
                            run.request(),
                            run.sentAt(),
                            IncompleteRunCause.CALLER_GONE);
        }
    }

    private void drain(Worker worker) {
        if (worker.up) {
            list(worker, true);
        }
    }

    private void countPoisonRequest(CrashSuspect poison, int router) {
        boolean inTouch = !cutOff.contains(router) && !restarting.contains(router);
        boolean late =
                knownFrom(poison).filter(from -> now().isAfter(from.plus(KNOWN_BY))).isPresent();
        if (inTouch && late) {
            lateSends.merge(poison, 1, Integer::sum);
        }
    }

    /** Returns the time of the crash by which the routers learn of a poison, if there was one. */
    private Optional<Instant> knownFrom(CrashSuspect poison) {
        return crashesByPoison.getOrDefault(poison, List.of()).stream()
                .skip(SimulatedRequests.crashesToKnow(poison) - 1)
                .findFirst();
    }

    // Poisons that have caused too few crashes to be known are left out.
    private boolean allKnownFor(Duration longerThan) {
        List<Instant> known =
                crashesByPoison.keySet().stream()
                        .flatMap(poison -> knownFrom(poison).stream())
                        .toList();
        return !known.isEmpty()
                && known.stream().allMatch(from -> now().isAfter(from.plus(longerThan)));
    }

    private void kill(Worker worker, Run run, CrashSuspect poison) {
        if (worker.up && worker.incarnation == run.incarnation()) {
            crashesByPoison.computeIfAbsent(poison, any -> new ArrayList<>()).add(now());
            crash(worker);
        }
    }

    private void answer(Worker worker, Run run) {
        if (worker.incarnation == run.incarnation() && worker.runs.remove(run)) {
            PoisonRequestDetector router = routers.get(run.router());
            int status = status(run.request());
            if (status == ANSWERED) {
                router.recordSuccess(run.request().promptParts(), run.sentAt());
            }
            if (router.needsOutcomes()) {
                router.recordAnswer(run.request(), run.sentAt(), status);
            }
        }
    }

    private int status(RequestIdentity request) {
        boolean failingPoll = requests.isPoll(request) && has(InjectedFault.FAILING_POLLS);
        boolean fails = requests.poisonIn(request).isPresent() || failingPoll;
        return fails ? FAILED : ANSWERED;
    }

    private void crash(Worker worker) {
        if (!worker.up) {
            return;
        }
        crashes++;
        worker.up = false;
        List<Run> cut = List.copyOf(worker.runs);
        worker.runs.clear();
        var upstream = table.find(worker.id).orElseThrow();
        for (Run run : cut) {
            soon(
                    MAX_DELAY_MILLIS,
                    () ->
                            routers.get(run.router())
                                    .recordCutRun(
                                            upstream,
                                            run.request(),
                                            run.sentAt(),
                                            IncompleteRunCause.BROKE));
            if (run.retries() > 0) {
                soon(500, () -> send(run.request(), run.retries() - 1));
            }
        }
        time.after(
                has(InjectedFault.FAST_RESTARTS) ? FAST_RESTART_TIME : DOWN, () -> start(worker));
        time.after(
                ENTRY_EXPIRY,
                () -> routers.forEach(each -> each.upstreamListed(list(worker, false))));
    }

    private void start(Worker worker) {
        worker.incarnation++;
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
                        new HeldModels(worker.incarnation, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of());
        table.put(facts, now());
        return facts;
    }

    private void probe(
            Upstream upstream, boolean vouch, Consumer<UpstreamCrashDetector.ProbeResult> then) {
        boolean wrong = has(InjectedFault.WRONG_PROBES) && oneIn(3);
        boolean up =
                wrong
                        || workers.stream()
                                .anyMatch(each -> each.id.equals(upstream.facts().id()) && each.up);
        soon(
                MAX_DELAY_MILLIS,
                () ->
                        then.accept(
                                up
                                        ? UpstreamCrashDetector.ProbeResult.ALIVE
                                        : UpstreamCrashDetector.ProbeResult.CRASHED));
    }

    private CrashAnnouncer announcerOf(int from, int start) {
        return new CrashAnnouncer() {
            // Timers of a router that was killed still run here, but it announces nothing.
            private boolean isRunning() {
                return currentStarts.getOrDefault(from, start) == start;
            }

            private void announce(int most, Consumer<PoisonRequestDetector> what) {
                if (isRunning()) {
                    CrashSimulation.this.announce(from, most, what);
                }
            }

            @Override
            public void announceRunsAtCrash(
                    UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
                announce(COUNTING_ROUTERS, router -> router.countCrash(crash, ago, runs));
            }

            @Override
            public void announceCrash(UpstreamCrash crash) {
                announce(routers.size(), router -> router.crashReceived(crash, false));
            }

            @Override
            public void forwardCrash(UpstreamCrash crash) {
                throw new IllegalStateException("each router announces to all in this simulation");
            }

            @Override
            public void announceWatched(CrashSuspect suspect) {
                announce(routers.size(), router -> router.startWatching(suspect));
            }

            @Override
            public void announceQuarantined(Quarantine.Entry entry) {
                if (isRunning()) {
                    stored.merge(entry.suspect(), entry.trials(), Math::max);
                }
                announce(routers.size(), router -> router.quarantineReceived(entry));
            }

            @Override
            public void announceRefused(Quarantine.Entry entry) {
                announce(COUNTING_ROUTERS, router -> router.quarantineReceived(entry));
            }

            @Override
            public void removeStored(CrashSuspect suspect) {
                if (isRunning()) {
                    stored.remove(suspect);
                }
            }

            @Override
            public void announceCleared(CrashSuspect suspect, Duration sentAgo) {
                announce(routers.size(), router -> router.clear(suspect, sentAgo));
            }

            @Override
            public void announceEarlierSuccess(CrashSuspect suspect, Duration ago) {
                announce(COUNTING_ROUTERS, router -> router.recordEarlierSuccess(suspect, ago));
            }

            @Override
            public void announceSurvivedRuns(CrashSuspect suspect, int runs) {
                announce(COUNTING_ROUTERS, router -> router.addSurvivedRuns(suspect, runs));
            }
        };
    }

    private void announce(int from, int most, Consumer<PoisonRequestDetector> what) {
        for (int each = 0; each < Math.min(most, routers.size()); each++) {
            if (each != from) {
                messages++;
                announceTo(from, each, what);
            }
        }
    }

    private void announceTo(int from, int to, Consumer<PoisonRequestDetector> what) {
        boolean lost = has(InjectedFault.LOST_ANNOUNCEMENTS) && oneIn(4);
        if (!lost && !cutOff.contains(from) && !cutOff.contains(to)) {
            int way =
                    has(InjectedFault.LATE_ANNOUNCEMENTS)
                            ? MAX_LATE_DELAY_MILLIS
                            : MAX_DELAY_MILLIS;
            soon(way, () -> what.accept(routers.get(to)));
        }
    }

    private boolean chance(double expected) {
        return random.nextDouble() < expected;
    }

    private void soon(int mostMillis, Runnable step) {
        time.after(Duration.ofMillis(1 + random.nextInt(mostMillis)), step);
    }

    private Instant now() {
        return time.clock().instant();
    }
}
