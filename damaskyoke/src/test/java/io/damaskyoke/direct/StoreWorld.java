package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.upstreams.DrainedZones;
import io.damaskyoke.follow.Pace;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Some routers that follow one store, with time by hand, and the promises that they make: what is
 * acknowledged is in force everywhere within two seconds, counted from the end of trouble where
 * there was some; a drained zone gets nothing from the limit of its drain on; nothing goes back; an
 * upstream that lives and returns in time stays in use.
 */
final class StoreWorld {
    /** What operators are promised of a configuration, and upstreams that leave. */
    static final Duration BOUND = Duration.ofSeconds(2);

    /**
     * An entry that vanished about the time of an outage may be one that lapsed, and is waited for.
     * The store counts as settled after this long.
     */
    static final Duration SETTLED = Duration.ofSeconds(3);

    /** Routers tell each other that often what they know. */
    private static final Duration GOSSIP = Duration.ofSeconds(1);

    private static final TestDialect DIALECT = new TestDialect();
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int ROUTERS = 3;
    private static final int UPSTREAMS = 4;

    private final TestControlThread world = new TestControlThread();
    private final SimulatedStore store = new SimulatedStore(world);
    private final List<FollowingRouter> routers = new ArrayList<>();
    private final TreeMap<Long, Instant> versions = new TreeMap<>();
    private final Map<String, Instant> left = new HashMap<>();
    private final Map<String, Instant> drained = new HashMap<>();
    private final Map<String, Instant> joined = new HashMap<>();
    private final Map<String, Instant> zonesDrained = new HashMap<>();
    private final Map<String, Instant> zonesRestored = new HashMap<>();
    private final TreeSet<String> alive = new TreeSet<>();
    private final Map<FollowingRouter, Set<String>> used = new HashMap<>();
    private final Map<FollowingRouter, Long> highest = new HashMap<>();
    private final List<Runnable> postponed = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final List<String> story = new ArrayList<>();
    private final Instant began = world.clock().instant();
    private int outages;
    private long version;
    private int upstreams;

    StoreWorld() {
        this(Paces.CONFIGURATION);
    }

    /** A world whose routers follow the configuration at this pace. */
    StoreWorld(Pace pace) {
        this(pace, ROUTERS, 0);
    }

    /** A world in which so many routers follow the store, and others ask these. */
    StoreWorld(Pace pace, int watchers, int behindThem) {
        change();
        for (int each = 0; each < UPSTREAMS; each++) {
            join();
        }
        for (int each = 0; each < watchers; each++) {
            routers.add(new FollowingRouter("router-" + each, world, store, pace));
        }
        List<FollowingRouter> relays = List.copyOf(routers);
        for (int each = 0; each < behindThem; each++) {
            String name = "behind-" + each;
            routers.add(new FollowingRouter(name, world, store, pace, relays));
        }
        world.every(GOSSIP, this::gossip);
        pass(BOUND);
    }

    private void gossip() {
        for (FollowingRouter hearing : routers) {
            routers.stream().filter(each -> each != hearing).forEach(hearing::hears);
        }
    }

    /** What was promised and not kept, one line each; a promise is named once for a router. */
    List<String> broken() {
        return broken;
    }

    /** What happened, with the milliseconds since the beginning. */
    List<String> story() {
        return story;
    }

    List<FollowingRouter> routers() {
        return routers;
    }

    /** How often all routers together have asked the store. */
    long storeCalls() {
        return routers.stream().mapToLong(FollowingRouter::storeCalls).sum();
    }

    /** The upstreams that are there to stay. */
    List<String> alive() {
        return List.copyOf(alive);
    }

    /** Lets time pass, and holds the promises against the truth all the while. */
    void pass(Duration duration) {
        Instant end = world.clock().instant().plus(duration);
        while (world.clock().instant().isBefore(end)) {
            world.advance(STEP);
            routers.forEach(this::check);
        }
    }

    void after(Duration delay, Runnable step) {
        world.after(delay, step);
    }

    /** Operators change the configuration; while the store is out, as soon as it is back. */
    void change() {
        write(
                () -> {
                    version++;
                    store.put(DIALECT.configurationKey(), bytes(Long.toString(version)));
                    versions.put(version, world.clock().instant());
                    tell("version " + version);
                });
    }

    /** A new upstream comes. */
    void join() {
        String id = "i-" + ++upstreams;
        write(
                () -> {
                    store.put("up/" + id, bytes("ready"));
                    alive.add(id);
                    joined.put(id, world.clock().instant());
                    tell(id + " comes");
                });
    }

    /** An upstream says that it leaves. */
    void drain(String id) {
        alive.remove(id);
        write(
                () -> {
                    store.put("up/" + id, bytes("draining"));
                    drained.put(id, world.clock().instant());
                    tell(id + " drains");
                });
    }

    /** Operators drain a zone. */
    void drainZone(String zone) {
        write(
                () -> {
                    store.put(DIALECT.operatorPrefix() + "drained/" + zone, new byte[0]);
                    zonesRestored.remove(zone);
                    zonesDrained.put(zone, world.clock().instant());
                    tell("zone " + zone + " is drained");
                });
    }

    /** Operators take the drain of a zone back. */
    void restoreZone(String zone) {
        write(
                () -> {
                    store.remove(DIALECT.operatorPrefix() + "drained/" + zone);
                    zonesDrained.remove(zone);
                    zonesRestored.put(zone, world.clock().instant());
                    tell("the drain of zone " + zone + " is taken back");
                });
    }

    /** An upstream leaves without a word: its entry is removed. */
    void leave(String id) {
        alive.remove(id);
        write(
                () -> {
                    store.remove("up/" + id);
                    left.put(id, world.clock().instant());
                    tell(id + " leaves");
                });
    }

    /** An upstream's entry lapses while the store is out; the upstream writes it anew. */
    void lapse(String id, Duration untilBack) {
        tell(id + " lapses, back in " + untilBack.toMillis());
        store.remove("up/" + id);
        world.after(
                untilBack,
                () -> {
                    if (alive.contains(id)) {
                        store.put("up/" + id, bytes("ready"));
                        tell(id + " is back");
                    }
                });
    }

    /** The store is out for all: routers, operators, upstreams. */
    void outage(SimulatedStorePath.State how, Duration length) {
        tell("store " + how + " for " + length.toMillis());
        outages++;
        routers.forEach(each -> each.pathFails(how));
        world.after(
                length,
                () -> {
                    tell("store no longer " + how);
                    outages--;
                    routers.forEach(each -> each.pathReturns(how));
                    if (outages == 0) {
                        List<Runnable> waited = List.copyOf(postponed);
                        postponed.clear();
                        waited.forEach(Runnable::run);
                    }
                });
    }

    /** One router loses the store, and operators don't. */
    void cut(FollowingRouter router, SimulatedStorePath.State how, Duration length) {
        tell(router.name() + ' ' + how + " for " + length.toMillis());
        router.pathFails(how);
        world.after(length, () -> router.pathReturns(how));
    }

    /** One router's VM stands still. */
    void freeze(FollowingRouter router, Duration length) {
        tell(router.name() + " stands still for " + length.toMillis());
        router.freeze();
        world.after(length, router::thaw);
    }

    /** Those that wait hear nothing for a while; then the history is dropped. */
    void dropHistory(Duration after) {
        tell("history will be dropped in " + after.toMillis());
        store.mute();
        world.after(
                after,
                () -> {
                    store.dropHistory();
                    routers.forEach(FollowingRouter::calmed);
                });
    }

    private void write(Runnable step) {
        if (outages > 0) {
            postponed.add(step);
        } else {
            step.run();
        }
    }

    private void check(FollowingRouter router) {
        long seen = router.version();
        if (seen < highest.getOrDefault(router, 0L)) {
            report(router, "went back", seen);
        }
        highest.merge(router, seen, Math::max);
        checkAlive(router, world.clock().instant());
        if (router.calm()) {
            checkLate(router, router.calmSince(), Duration.ZERO);
        } else if (router.cutOffOnly()) {
            // Its neighbours know, if one of them is calm.
            routers.stream()
                    .filter(FollowingRouter::calm)
                    .map(FollowingRouter::calmSince)
                    .min(Instant::compareTo)
                    .map(calm -> later(calm, router.calmSince()))
                    .ifPresent(calm -> checkLate(router, calm, GOSSIP));
        }
    }

    private void checkLate(FollowingRouter router, Instant calm, Duration more) {
        long seen = router.version();
        Instant now = world.clock().instant().minus(more);
        versions.forEach(
                (number, at) -> {
                    if (seen < number && overdue(at, calm, now)) {
                        report(router, "has not in force version", number);
                    }
                });
        drained.forEach(
                (id, at) -> {
                    if (router.uses(id) && overdue(at, calm, now)) {
                        report(router, "still uses, though it drains,", id);
                    }
                });
        zonesDrained.forEach(
                (zone, at) -> {
                    Instant due = later(at.plus(DrainedZones.DEFAULT_LIMIT), calm.plus(BOUND));
                    if (!now.isBefore(due)) {
                        in(zone).filter(router::uses)
                                .forEach(
                                        id -> report(router, "still uses, in a drained zone,", id));
                    }
                });
        left.forEach(
                (id, at) -> {
                    Instant due = later(at.plus(BOUND), calm.plus(SETTLED));
                    if (router.uses(id) && !now.isBefore(due)) {
                        report(router, "still uses, though it left,", id);
                    }
                });
    }

    private void checkAlive(FollowingRouter router, Instant now) {
        Set<String> known = used.computeIfAbsent(router, any -> new HashSet<>());
        for (String id : alive) {
            Instant restored = zonesRestored.get(TestDialect.zone(id));
            if (zonesDrained.containsKey(TestDialect.zone(id))) {
                known.remove(id);
            } else if (router.uses(id)) {
                // It may not have heard of a drain yet that is taken back by now.
                if (restored == null || mustKnow(router, restored, now)) {
                    known.add(id);
                }
            } else if (known.contains(id)) {
                report(router, "dropped, though it lives,", id);
            } else if (mustKnow(router, latest(joined.get(id), restored), now)) {
                report(router, "does not use, though it came,", id);
            }
        }
    }

    private static boolean mustKnow(FollowingRouter router, Instant at, Instant now) {
        return router.calm() && overdue(at, router.calmSince(), now);
    }

    private static Instant latest(Instant joined, Instant restored) {
        return joined == null || restored == null ? joined : later(joined, restored);
    }

    private Stream<String> in(String zone) {
        return alive.stream().filter(id -> TestDialect.zone(id).equals(zone));
    }

    private static boolean overdue(Instant at, Instant calm, Instant now) {
        return at != null && !now.isBefore(later(at, calm).plus(BOUND));
    }

    private void tell(String what) {
        story.add(Duration.between(began, world.clock().instant()).toMillis() + " " + what);
    }

    private void report(FollowingRouter router, String what, Object which) {
        String line = router.name() + ' ' + what + ' ' + which;
        if (!broken.contains(line)) {
            broken.add(line);
            tell("BROKEN: " + line);
        }
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
