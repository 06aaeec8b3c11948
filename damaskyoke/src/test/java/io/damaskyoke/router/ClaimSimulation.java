package io.damaskyoke.router;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.control.claims.KeyedOutcomes;
import io.damaskyoke.control.routing.RequestAction;
import io.damaskyoke.control.routing.RequestInput;
import io.damaskyoke.control.routing.RequestMachine;
import io.damaskyoke.control.routing.RetryBudget;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/**
 * Simulates routers, agents and a store that fail at random, and callers who repeat payments. Every
 * violation of the rules for claims is recorded in {@link #violations}.
 */
public final class ClaimSimulation {
    private static final int DURATION_MILLIS = 60_000;
    private static final int ROUTERS = 3;
    private static final int AGENTS = 2;
    private static final int KEYS = 4;
    private static final int ATTEMPTS = 40;
    private static final Duration DEADLINE = Duration.ofSeconds(8);
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    final List<String> violations = new ArrayList<>();
    final Map<String, Integer> executions = new TreeMap<>();
    final Map<String, Integer> answers = new TreeMap<>();
    private final Map<String, String> settled = new HashMap<>();
    private final Map<ExchangeId, Boolean> saidNotRun = new HashMap<>();
    private final Map<ExchangeId, Flow> waiting =
            new TreeMap<>(Comparator.comparing(ExchangeId::toString));
    private final TestControlThread control;
    private final FakeStore fake = new FakeStore();
    private final KeyValueStore store;
    private final Random random;
    private final boolean naive;
    private final List<ClaimRouter> routers = new ArrayList<>();
    private final Map<VmId, FakeAgent> agents = new TreeMap<>();
    private int incarnations;

    ClaimSimulation(long seed, boolean naive) {
        this.random = new Random(seed);
        this.naive = naive;
        this.control = new TestControlThread();
        this.store = fake;
        populate();
    }

    /** Creates a simulation that shares the caller's clock and store. */
    public ClaimSimulation(long seed, TestControlThread control, KeyValueStore store) {
        this.random = new Random(seed);
        this.naive = false;
        this.control = control;
        this.store = store;
        populate();
    }

    private void populate() {
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(router());
        }
        for (int i = 0; i < AGENTS; i++) {
            VmId vm = VmId.of("agent-" + i);
            agents.put(vm, new FakeAgent(vm));
        }
    }

    void run() {
        for (int i = 0; i < ATTEMPTS; i++) {
            at(DURATION_MILLIS, this::payAtRandom);
        }
        for (int i = 0; i < 6; i++) {
            at(DURATION_MILLIS, () -> failStore(random.nextInt(3)));
            at(DURATION_MILLIS, () -> replaceRouter(random.nextInt(ROUTERS)));
            at(DURATION_MILLIS, () -> agent(random.nextInt(AGENTS)).die());
        }
        control.advance(Duration.ofMillis(2L * DURATION_MILLIS));
    }

    /** Sends one of the few payments of this round, perhaps a repeat, to a random router. */
    public void pay(int round) {
        pay("pay-" + round + "-" + random.nextInt(KEYS));
    }

    /** Returns a router's control thread, which can be frozen and ended. */
    public SimulatedProcess routerProcess(int router) {
        return routers.get(router).process();
    }

    /** Restarts an agent, which loses all its state. */
    public void restartAgent(int number) {
        agent(number).die();
    }

    /** Returns the number of requests that were served. */
    public int served() {
        return answers.getOrDefault("served", 0);
    }

    /** Returns the violations so far and the requests that wait past their deadlines. */
    public List<String> currentViolations() {
        List<String> found = new ArrayList<>(violations);
        waiting.values().removeIf(flow -> flow.router.process().hasEnded());
        for (Flow flow : waiting.values()) {
            boolean late = flow.request.deadline().isBefore(control.clock().instant());
            if (late && !flow.router.process().isFrozen()) {
                found.add(flow.request.id() + " waits past its deadline");
            }
        }
        return found;
    }

    /** Ends a router and starts a new incarnation of it. */
    public void replaceRouter(int number) {
        routers.get(number).process().end();
        routers.set(number, router());
    }

    private ClaimRouter router() {
        return ClaimRouter.start(
                new SimulatedProcess(control),
                store,
                "router:" + ++incarnations,
                random.nextLong());
    }

    private void failStore(int how) {
        if (how == 0) {
            fake.down(true);
            at(5_000, () -> fake.down(false));
        } else if (how == 1) {
            fake.slow(true);
            at(5_000, fake::release);
        } else {
            fake.loseAnswers(1 + random.nextInt(3));
        }
    }

    private void payAtRandom() {
        pay("pay-" + random.nextInt(KEYS));
    }

    private void pay(String key) {
        ClaimRouter router = routers.get(random.nextInt(ROUTERS));
        new Flow(router, router.request(key, control.clock().instant().plus(DEADLINE))).start();
    }

    private void at(int withinMillis, Runnable step) {
        control.after(Duration.ofMillis(random.nextInt(withinMillis)), step);
    }

    private void soon(Runnable step) {
        at(400, step);
    }

    private FakeAgent agent(int number) {
        return agents.get(VmId.of("agent-" + number));
    }

    private static String key(Request request) {
        return request.idempotencyKey().orElseThrow().value();
    }

    private void answered(Request request, String answer) {
        waiting.remove(request.id());
        answers.merge("served", 1, Integer::sum);
        String first = settled.putIfAbsent(key(request), answer);
        if (!naive && first != null && !first.equals(answer)) {
            violations.add(key(request) + " was answered as " + first + " and as " + answer);
        }
    }

    private void refused(Request request, Refusal refusal) {
        waiting.remove(request.id());
        answers.merge(refusal.code().wireName() + " " + refusal.notRun(), 1, Integer::sum);
        if (!refusal.notRun()) {
            return;
        }
        saidNotRun.put(request.id(), true);
        if (executions.getOrDefault(key(request), 0) > 0) {
            violations.add(request.id() + " was told not run, but " + key(request) + " has run");
        }
    }

    private void execute(Request request) {
        if (executions.merge(key(request), 1, Integer::sum) > 1) {
            violations.add(key(request) + " ran again");
        }
        if (saidNotRun.containsKey(request.id())) {
            violations.add(request.id() + " ran after it was refused as not run");
        }
    }

    /** Simulates a router's request flow, over agents that answer after random times or never. */
    private final class Flow {
        private final ClaimRouter router;
        private final Request request;
        private final RequestMachine machine;
        private HeldClaim claim;
        private ClaimRecord recordedAnswer;

        Flow(ClaimRouter router, Request request) {
            this.router = router;
            this.request = request;
            RequestMachine.AgentSelector agentSelector =
                    (tried, now) ->
                            random.nextInt(8) == 0
                                    ? Optional.empty()
                                    : agents.keySet().stream()
                                            .filter(vm -> !tried.contains(vm))
                                            .findFirst();
            RetryBudget budget = RetryBudget.of(1);
            this.machine =
                    naive
                            ? RequestMachine.of(true, agentSelector, budget)
                            : RequestMachine.withIdempotencyKey(agentSelector, budget);
        }

        void later(Runnable step) {
            soon(() -> router.process().run(step));
        }

        void start() {
            waiting.put(request.id(), this);
            feed(new RequestInput.Admitted());
            router.process().after(DEADLINE, () -> feed(new RequestInput.DeadlinePassed()));
            if (random.nextInt(4) == 0) {
                later(this::leave);
            }
        }

        private void leave() {
            waiting.remove(request.id());
            feed(new RequestInput.CallerDisconnected());
        }

        private void feed(RequestInput input) {
            if (router.process().hasEnded()) {
                return;
            }
            for (RequestAction action : machine.on(input, control.clock().instant())) {
                carryOut(action);
            }
        }

        private void carryOut(RequestAction action) {
            if (action instanceof RequestAction.ClaimKey wanted) {
                router.claim(claim, request, wanted.vm(), agents)
                        .thenAccept(result -> claimed(wanted.vm(), result));
            } else if (action instanceof RequestAction.LookUpKey) {
                router.lookUp(request, agents).thenAccept(this::claimRefused);
            } else if (action instanceof RequestAction.ReleaseClaim) {
                release();
            } else if (action instanceof RequestAction.Send send) {
                soon(() -> agents.get(send.vm()).invoked(this));
            } else if (action instanceof RequestAction.ReplayAnswer) {
                answered(request, new String(recordedAnswer.outcome().get().body().get()));
            } else if (action instanceof RequestAction.Refuse reply) {
                refused(request, reply.refusal());
            }
        }

        private void release() {
            router.claims()
                    .release(claim)
                    .thenAccept(
                            confirmed -> feed(new RequestInput.ClaimReleaseFinished(confirmed)));
            router.process()
                    .after(
                            RELEASE_TIMEOUT,
                            () -> feed(new RequestInput.ClaimReleaseFinished(false)));
        }

        private void claimed(VmId vm, ClaimResult result) {
            if (result instanceof ClaimResult.Claimed held) {
                claim = held.claim();
                feed(new RequestInput.KeyClaimed(vm));
            } else {
                claimRefused(result);
            }
        }

        private void claimRefused(ClaimResult result) {
            if (result instanceof ClaimResult.NotFound) {
                feed(new RequestInput.KeyNotFound());
            } else if (result instanceof ClaimResult.AlreadyAnswered found) {
                recordedAnswer = found.settled();
                feed(new RequestInput.RecordedAnswerFound());
            } else {
                feed(new RequestInput.ClaimRefused(((ClaimResult.Refused) result).refusal()));
            }
        }

        private void served(VmId vm, ClaimRecord.Outcome outcome) {
            if (router.process().hasEnded()) {
                return;
            }
            boolean wanted = !machine.isAnswered();
            feed(new RequestInput.AnswerStarted(vm));
            if (wanted) {
                answered(request, new String(outcome.body().get()));
            }
            if (claim != null) {
                router.claims().settle(claim, outcome);
            }
        }
    }

    /** An agent that loses frames, refuses, runs requests, drops links, and restarts empty. */
    final class FakeAgent implements ClaimRouter.QueriedAgent {
        private final VmId vm;
        private KeyedOutcomes outcomes;
        private int incarnation;

        FakeAgent(VmId vm) {
            this.vm = vm;
            this.outcomes = new KeyedOutcomes(vm, 100);
        }

        void die() {
            incarnation++;
            outcomes = new KeyedOutcomes(vm, 100);
        }

        @Override
        public Optional<ClaimRecord> find(Request request) {
            return outcomes.find(request.workspace(), request.idempotencyKey().orElseThrow());
        }

        void invoked(Flow flow) {
            int chance = random.nextInt(10);
            if (chance == 0) {
                flow.later(() -> flow.feed(new RequestInput.NotSent(vm)));
            } else if (chance == 1) {
                flow.later(() -> flow.feed(new RequestInput.ConnectionLost(vm)));
            } else {
                arrived(flow, chance);
            }
        }

        private void arrived(Flow flow, int chance) {
            Optional<Refusal> known = naive ? Optional.empty() : outcomes.begin(flow.request);
            if (known.isPresent()) {
                flow.later(() -> flow.feed(new RequestInput.AgentRefused(vm, known.get())));
            } else if (chance == 2) {
                outcomes.recordEnd(flow.request, true);
                Refusal busy = Refusal.notRun(RefusalCode.OVERLOADED, "busy");
                flow.later(() -> flow.feed(new RequestInput.AgentRefused(vm, busy)));
            } else {
                int startedIn = incarnation;
                soon(() -> run(flow, chance, startedIn));
            }
        }

        private void run(Flow flow, int chance, int startedIn) {
            if (incarnation != startedIn) {
                flow.later(() -> flow.feed(new RequestInput.ConnectionLost(vm)));
                return;
            }
            execute(flow.request);
            String answer = "run by " + flow.request.id();
            ClaimRecord.Outcome outcome =
                    new ClaimRecord.Outcome(200, List.of(), Optional.of(answer.getBytes()));
            if (chance == 3) {
                outcomes.recordEnd(flow.request, false);
                flow.later(() -> flow.feed(new RequestInput.ConnectionLost(vm)));
                return;
            }
            outcomes.recordAnswer(flow.request, outcome);
            if (chance == 4) {
                flow.later(() -> flow.feed(new RequestInput.ConnectionLost(vm)));
            } else {
                flow.later(() -> flow.served(vm, outcome));
            }
        }
    }
}
