package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.cold.RequestLimit;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A simulation, in virtual time, of routers that share three upstreams. Two of these declare how
 * many requests a second they accept, change the limit and withdraw it; messages between routers
 * are late or lost, and routers restart. It checks the documented bound on the requests that a
 * limited upstream gets within four seconds from routers that have passed on an answer with the
 * limit.
 */
final class LimitSimulation {
    static final String SERVICE = "engines";

    private static final int UPSTREAMS = 3;
    private static final int SLOTS = 48;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration TIME_TO_KNOW = Duration.ofSeconds(3);
    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration TIME_TO_APPLY = Duration.ofMillis(500);
    private static final double OVERAGE = 1.5;
    private static final double SLACK = 5;
    private static final int MAX_ANNOUNCEMENT_MILLIS = 60;

    /** The number of routers that pass announcements on to all others. */
    private static final int WATCHERS = 2;

    final TestControlThread time = new TestControlThread();
    final Random random;
    private final Rules rules;
    private final List<LimitSimulationRouter> routers = new ArrayList<>();
    private final List<SimulatedUpstream> engines = new ArrayList<>();
    private double perSecond;
    private int violations;
    private int served;
    private int refused;

    /**
     * The settings of a simulation.
     *
     * @param shared whether routers keep to their share of a limit, instead of using all of it
     * @param lost the fraction of messages between routers that is lost
     */
    record Rules(boolean shared, double lost) {
        static Rules defaults() {
            return new Rules(true, 0.1);
        }
    }

    /** The true state of an upstream. */
    final class SimulatedUpstream {
        private final UpstreamId id;
        private RequestLimit limit = RequestLimit.NO_LIMIT;
        private Instant limitedAt = Instant.MAX;
        private double highest;
        private final Map<VmId, Instant> passedOnAtByRouter = new HashMap<>();
        private final ArrayDeque<Instant> arrivals = new ArrayDeque<>();
        private int requestsWhileLimited;

        private SimulatedUpstream(int number) {
            this.id = UpstreamId.of("i-" + number);
        }

        UpstreamId id() {
            return id;
        }

        void declareLimit(double given) {
            limit = RequestLimit.declared(given);
            limitedAt = limitedAt.equals(Instant.MAX) ? now() : limitedAt;
            highest = Math.max(highest, given);
        }

        void withdrawLimit() {
            limit = RequestLimit.NO_LIMIT;
            limitedAt = Instant.MAX;
            highest = 0;
            passedOnAtByRouter.clear();
            arrivals.clear();
        }

        RequestLimit limit() {
            return limit;
        }

        /**
         * Returns the requests received under a declared limit, once routers had time to know it.
         */
        int requestsWhileLimited() {
            return requestsWhileLimited;
        }

        void answerPassedOnBy(VmId router) {
            if (limit.isDeclared()) {
                passedOnAtByRouter.putIfAbsent(router, now());
            }
        }

        void routerRestarted(VmId router) {
            passedOnAtByRouter.remove(router);
        }

        void requestArrived(VmId router) {
            if (limitedAt.equals(Instant.MAX) || now().isBefore(limitedAt.plus(TIME_TO_KNOW))) {
                return;
            }
            requestsWhileLimited++;
            Instant passedOnAt = passedOnAtByRouter.get(router);
            if (passedOnAt == null || now().isBefore(passedOnAt.plus(TIME_TO_APPLY))) {
                return;
            }
            arrivals.add(now());
            while (!arrivals.peek().isAfter(now().minus(WINDOW))) {
                arrivals.remove();
            }
            double allowed = highest * WINDOW.toSeconds() * OVERAGE + SLACK;
            violations += arrivals.size() > allowed ? 1 : 0;
        }

        UpstreamFacts facts() {
            return new UpstreamFacts(
                    id,
                    1,
                    SERVICE,
                    new Endpoint("10.0.0.1", 80),
                    "a",
                    SLOTS,
                    false,
                    Duration.ZERO,
                    new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                    Set.of(),
                    Set.of());
        }
    }

    LimitSimulation(int count, long seed, Rules rules) {
        this.random = new Random(seed);
        this.rules = rules;
        for (int each = 0; each < UPSTREAMS; each++) {
            engines.add(new SimulatedUpstream(each));
        }
        for (int each = 0; each < count; each++) {
            routers.add(new LimitSimulationRouter(this, VmId.of("router-" + each)));
        }
        routers.forEach(LimitSimulationRouter::start);
    }

    Rules rules() {
        return rules;
    }

    Instant now() {
        return time.clock().instant();
    }

    List<SimulatedUpstream> engines() {
        return engines;
    }

    SimulatedUpstream engine(UpstreamId id) {
        return engines.stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
    }

    List<LimitSimulationRouter> routers() {
        return routers;
    }

    List<VmId> routerNames() {
        return routers.stream().map(LimitSimulationRouter::name).toList();
    }

    /** Sets how many requests a second arrive at all routers together. */
    void demand(double requestsPerSecond) {
        perSecond = requestsPerSecond;
    }

    void advance(Duration duration) {
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            double expected = perSecond * STEP.toMillis() / 1000.0;
            while (random.nextDouble() < expected) {
                expected -= 1;
                routers.get(random.nextInt(routers.size())).sendRequest();
            }
            time.advance(STEP);
        }
    }

    /** Sends an announcement: watchers reach all routers, the others only the watchers. */
    void announce(LimitSimulationRouter from, DeclaredLimits.Announcement announcement) {
        boolean watches = routers.indexOf(from) < WATCHERS;
        for (int each = 0; each < routers.size(); each++) {
            LimitSimulationRouter to = routers.get(each);
            if (to != from && (watches || each < WATCHERS) && random.nextDouble() >= rules.lost()) {
                Duration way = Duration.ofMillis(2 + random.nextInt(MAX_ANNOUNCEMENT_MILLIS));
                time.after(way, () -> to.announcementReceived(announcement, !watches));
            }
        }
    }

    boolean isWatcher(LimitSimulationRouter router) {
        return routers.indexOf(router) < WATCHERS;
    }

    void recordServed() {
        served++;
    }

    void recordRefused() {
        refused++;
    }

    /** Returns how many requests limited upstreams got beyond the bound. */
    int violations() {
        return violations;
    }

    @Override
    public String toString() {
        return violations + " beyond a limit, " + served + " served, " + refused + " refused";
    }
}
