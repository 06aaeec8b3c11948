package io.damaskyoke.lab;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.rates.RateAction;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.RateMachine;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Routers with their {@link RateMachine}s, a store and a network that fail as told, on a clock of
 * its own. The same seed gives the same run.
 */
final class RateWorld {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration WAITING_TICK = Duration.ofMillis(10);
    private static final int STORE_MILLIS = 4;
    private static final int STORE_TIMEOUT_MILLIS = 2_000;
    private static final Duration LIST_PERIOD = Duration.ofSeconds(5);

    final Random random;
    private final RateSettings settings;
    final Map<VmId, Router> routers = new TreeMap<>();
    final Map<WorkspaceId, Workspace> workspaces;
    final Map<WorkspaceId, RateInput.ShareRow> rows = new HashMap<>();
    final Set<VmId> listed = new TreeSet<>();
    final Set<VmId> neverListed = new TreeSet<>();
    final Set<VmId> cutOff = new TreeSet<>();
    final BiConsumer<ExchangeId, Boolean> verdicts;
    boolean storeDown;
    double lostAnswers;
    double lostReads;
    double lostFrames;
    double doubledFrames;
    int slowestFrameMillis = 2;
    int calls;
    long messages;

    /** Whether routers with requests that wait look at them as often as the real ones do. */
    boolean ticksWhileWaiting;

    /** How long each router takes over a message or a request; none by default. */
    Function<VmId, Duration> pace = vm -> Duration.ZERO;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private Instant now = Instant.EPOCH;
    private long number;
    private long revision = 1;

    RateWorld(
            long seed,
            Map<WorkspaceId, Workspace> workspaces,
            BiConsumer<ExchangeId, Boolean> verdicts) {
        this(seed, RateSettings.defaults(), workspaces, verdicts);
    }

    RateWorld(
            long seed,
            RateSettings settings,
            Map<WorkspaceId, Workspace> workspaces,
            BiConsumer<ExchangeId, Boolean> verdicts) {
        this.random = new Random(seed);
        this.settings = settings;
        this.workspaces = workspaces;
        this.verdicts = verdicts;
    }

    /** One life of a router; its clock may be ahead of or behind the others. */
    static final class Router {
        final VmId vm;
        final Incarnation incarnation;
        final RateMachine machine;
        final Duration clockAhead;
        boolean alive = true;
        boolean frozen;
        final List<RateInput> missed = new ArrayList<>();
        Instant busyUntil = Instant.EPOCH;
        boolean tickPlanned;

        Router(VmId vm, Incarnation incarnation, Duration clockAhead, RateSettings settings) {
            this.vm = vm;
            this.incarnation = incarnation;
            this.clockAhead = clockAhead;
            this.machine = RateMachine.of(incarnation, vm, "127.0.0.1:1", settings);
        }
    }

    private record Event(Instant at, long number, Runnable step) {}

    Instant now() {
        return now;
    }

    /** Starts a router on this VM, in place of an earlier one. */
    void start(String name) {
        VmId vm = VmId.of(name);
        Router before = routers.get(vm);
        if (before != null) {
            before.alive = false;
        }
        Incarnation incarnation = Incarnation.of(name + ":" + (++number));
        Duration ahead = Duration.ofSeconds(random.nextInt(1_000));
        Router router = new Router(vm, incarnation, ahead, settings);
        routers.put(vm, router);
        if (!neverListed.contains(vm)) {
            listed.add(vm);
        }
        feed(router, new RateInput.WorkspacesConfigured(workspaces));
        feed(router, new RateInput.RoutersListed(Set.copyOf(listed)));
        every(router, TICK, () -> feed(router, new RateInput.Tick()));
        every(
                router,
                LIST_PERIOD,
                () -> feed(router, new RateInput.RoutersListed(Set.copyOf(listed))));
        every(router, Duration.ofSeconds(2), () -> heartbeats(router));
    }

    /** Ends a router without a word. */
    void kill(String name) {
        routers.get(VmId.of(name)).alive = false;
    }

    /** Stops a router's process; frames pile up before it. */
    void freeze(String name) {
        routers.get(VmId.of(name)).frozen = true;
    }

    /** Lets a frozen router go on, first with what piled up. */
    void thaw(String name) {
        Router router = routers.get(VmId.of(name));
        router.frozen = false;
        List<RateInput> missed = List.copyOf(router.missed);
        router.missed.clear();
        missed.forEach(input -> feed(router, input));
    }

    /** Hands an input to a router, which comes to it when it is done with those before. */
    void feed(Router router, RateInput input) {
        Duration takes = pace.apply(router.vm);
        if (takes.isZero()) {
            handle(router, input);
            return;
        }
        Instant begins = router.busyUntil.isAfter(now) ? router.busyUntil : now;
        router.busyUntil = begins.plus(takes);
        after(Duration.between(now, router.busyUntil), () -> handle(router, input));
    }

    private void handle(Router router, RateInput input) {
        if (!router.alive) {
            return;
        }
        if (router.frozen) {
            router.missed.add(input);
            return;
        }
        Instant local = now.plus(router.clockAhead);
        for (RateAction action : router.machine.on(input, local)) {
            carryOut(router, action, local);
        }
        if (ticksWhileWaiting && !router.tickPlanned && router.machine.waitingRequests() > 0) {
            router.tickPlanned = true;
            after(WAITING_TICK, () -> waitingTick(router));
        }
    }

    private void waitingTick(Router router) {
        router.tickPlanned = false;
        feed(router, new RateInput.Tick());
    }

    /** Runs the step after that time. */
    void after(Duration wait, Runnable step) {
        events.add(new Event(now.plus(wait), ++number, step));
    }

    void run(Duration time) {
        Instant end = now.plus(time);
        while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
            Event next = events.remove();
            now = next.at();
            next.step().run();
        }
        now = end;
    }

    private void every(Router router, Duration period, Runnable step) {
        after(
                period,
                () -> {
                    if (!router.alive) {
                        return;
                    }
                    if (!router.frozen) {
                        step.run();
                    }
                    every(router, period, step);
                });
    }

    private void heartbeats(Router router) {
        for (Router other : routers.values()) {
            if (other != router) {
                frame(router.vm, other.vm, new RateInput.PeerMessageReceived(router.vm));
            }
        }
    }

    private void carryOut(Router router, RateAction action, Instant local) {
        if (action instanceof RateAction.AdmitRequest admit) {
            verdicts.accept(admit.id(), true);
        } else if (action instanceof RateAction.RefuseRequest refuse) {
            verdicts.accept(refuse.id(), false);
        } else if (action instanceof RateAction.ReadShares) {
            read(router, local);
        } else if (action instanceof RateAction.WriteShares write) {
            write(router, write);
        } else if (action instanceof RateAction.SendTokenRequest ask) {
            frame(
                    router.vm,
                    ask.to(),
                    new RateInput.TokensRequested(
                            router.vm,
                            ask.workspace(),
                            ask.tokens(),
                            ask.requestId(),
                            ask.spentTransfers(),
                            ask.waitLimits()));
        } else if (action instanceof RateAction.SendTokenTransfer lend) {
            frame(
                    router.vm,
                    lend.to(),
                    new RateInput.TransferReceived(
                            router.vm,
                            lend.workspace(),
                            lend.tokens(),
                            lend.transferId(),
                            lend.queued(),
                            lend.retryAfter()));
        }
    }

    private void frame(VmId from, VmId to, RateInput frame) {
        messages += frame instanceof RateInput.PeerMessageReceived ? 0 : 1;
        if (cutOff.contains(from) || cutOff.contains(to)) {
            return;
        }
        int copies = random.nextDouble() < doubledFrames ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextDouble() >= lostFrames) {
                Duration way = Duration.ofMillis(1 + random.nextInt(slowestFrameMillis));
                after(way, () -> deliver(to, frame));
            }
        }
    }

    private void deliver(VmId to, RateInput frame) {
        Router router = routers.get(to);
        if (router != null) {
            feed(router, frame);
        }
    }

    private void read(Router router, Instant askedAt) {
        calls++;
        if (storeDown || lostReads > 0 && random.nextDouble() < lostReads) {
            Duration timeout = Duration.ofMillis(STORE_TIMEOUT_MILLIS);
            after(timeout, () -> feed(router, new RateInput.SharesReadFailed()));
            return;
        }
        after(
                Duration.ofMillis(STORE_MILLIS / 2),
                () -> {
                    Map<WorkspaceId, RateInput.ShareRow> seen = Map.copyOf(rows);
                    after(
                            Duration.ofMillis(STORE_MILLIS / 2),
                            () -> feed(router, new RateInput.SharesRead(seen, askedAt)));
                });
    }

    private void write(Router router, RateAction.WriteShares write) {
        calls++;
        boolean lost = random.nextDouble() < lostAnswers;
        int millis = lost ? random.nextInt(STORE_TIMEOUT_MILLIS) : STORE_MILLIS / 2;
        after(Duration.ofMillis(millis), () -> commit(write));
        int answer = lost ? STORE_TIMEOUT_MILLIS / 2 : STORE_MILLIS;
        after(Duration.ofMillis(answer), () -> read(router, now.plus(router.clockAhead)));
    }

    private void commit(RateAction.WriteShares write) {
        RateInput.ShareRow row = rows.get(write.workspace());
        long found = row == null ? 0 : row.revision();
        if (!storeDown && found == write.revision()) {
            ShareTable stored = ShareTable.parse(write.table().toJson());
            rows.put(write.workspace(), new RateInput.ShareRow(stored, ++revision));
        }
    }
}
