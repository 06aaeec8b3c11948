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
 * Routers that share three upstreams, with time by hand, of which two name how many requests a
 * second they take, change it and take it back; messages between routers come late or never,
 * routers restart. The promise is that of the page: what a limited upstream gets in four seconds
 * from those that have passed on an answer with it.
 */
final class LimitWorld {
    static final String SERVICE = "engines";

    private static final int UPSTREAMS = 3;
    private static final int SLOTS = 48;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration CONTACT = Duration.ofSeconds(3);
    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration TOLD = Duration.ofMillis(500);
    private static final double OVERAGE = 1.5;
    private static final double SLACK = 5;
    private static final int LONGEST_NEWS_MILLIS = 60;

    /** Those that pass news on to all others. */
    private static final int WATCHERS = 2;

    final TestControlThread time = new TestControlThread();
    final Random random;
    private final Rules rules;
    private final List<LimitRouter> routers = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private double perSecond;
    private int broken;
    private int served;
    private int refused;

    /**
     * What holds in a world.
     *
     * @param shared whether routers keep to their part of a limit, and not each to all of it
     * @param lost the part of messages between routers that is lost
     */
    record Rules(boolean shared, double lost) {
        static Rules usual() {
            return new Rules(true, 0.1);
        }
    }

    /** An upstream as it really is. */
    final class Engine {
        private final UpstreamId id;
        private RequestLimit limit = RequestLimit.NO_LIMIT;
        private Instant limitedAt = Instant.MAX;
        private double highest;
        private final Map<VmId, Instant> passedOn = new HashMap<>();
        private final ArrayDeque<Instant> came = new ArrayDeque<>();
        private int whileLimited;

        private Engine(int number) {
            this.id = UpstreamId.of("i-" + number);
        }

        UpstreamId id() {
            return id;
        }

        void names(double given) {
            limit = RequestLimit.declared(given);
            limitedAt = limitedAt.equals(Instant.MAX) ? now() : limitedAt;
            highest = Math.max(highest, given);
        }

        void namesNone() {
            limit = RequestLimit.NO_LIMIT;
            limitedAt = Instant.MAX;
            highest = 0;
            passedOn.clear();
            came.clear();
        }

        RequestLimit limit() {
            return limit;
        }

        /** Requests that came while it named a limit and routers had time to know. */
        int whileLimited() {
            return whileLimited;
        }

        void passedOn(VmId router) {
            if (limit.isDeclared()) {
                passedOn.putIfAbsent(router, now());
            }
        }

        void forgets(VmId router) {
            passedOn.remove(router);
        }

        void arrives(VmId router) {
            if (limitedAt.equals(Instant.MAX) || now().isBefore(limitedAt.plus(CONTACT))) {
                return;
            }
            whileLimited++;
            Instant told = passedOn.get(router);
            if (told == null || now().isBefore(told.plus(TOLD))) {
                return;
            }
            came.add(now());
            while (!came.peek().isAfter(now().minus(WINDOW))) {
                came.remove();
            }
            double allowed = highest * WINDOW.toSeconds() * OVERAGE + SLACK;
            broken += came.size() > allowed ? 1 : 0;
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

    LimitWorld(int count, long seed, Rules rules) {
        this.random = new Random(seed);
        this.rules = rules;
        for (int each = 0; each < UPSTREAMS; each++) {
            engines.add(new Engine(each));
        }
        for (int each = 0; each < count; each++) {
            routers.add(new LimitRouter(this, VmId.of("router-" + each)));
        }
        routers.forEach(LimitRouter::begin);
    }

    Rules rules() {
        return rules;
    }

    Instant now() {
        return time.clock().instant();
    }

    List<Engine> engines() {
        return engines;
    }

    Engine engine(UpstreamId id) {
        return engines.stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
    }

    List<LimitRouter> routers() {
        return routers;
    }

    List<VmId> routerNames() {
        return routers.stream().map(LimitRouter::name).toList();
    }

    /** So many requests come in a second, to all routers together. */
    void demand(double requestsPerSecond) {
        perSecond = requestsPerSecond;
    }

    void pass(Duration duration) {
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            double expected = perSecond * STEP.toMillis() / 1000.0;
            while (random.nextDouble() < expected) {
                expected -= 1;
                routers.get(random.nextInt(routers.size())).ask();
            }
            time.advance(STEP);
        }
    }

    /** Takes a router's news to those that it reaches: watchers reach all, the others watchers. */
    void tell(LimitRouter from, LimitedUpstreams.News news) {
        boolean watches = routers.indexOf(from) < WATCHERS;
        for (int each = 0; each < routers.size(); each++) {
            LimitRouter to = routers.get(each);
            if (to != from && (watches || each < WATCHERS) && random.nextDouble() >= rules.lost()) {
                Duration way = Duration.ofMillis(2 + random.nextInt(LONGEST_NEWS_MILLIS));
                time.after(way, () -> to.told(news, !watches));
            }
        }
    }

    boolean watches(LimitRouter router) {
        return routers.indexOf(router) < WATCHERS;
    }

    void noteServed() {
        served++;
    }

    void noteRefused() {
        refused++;
    }

    /** How often a limited upstream got a request beyond what it may. */
    int broken() {
        return broken;
    }

    @Override
    public String toString() {
        return broken + " beyond a limit, " + served + " served, " + refused + " refused";
    }
}
