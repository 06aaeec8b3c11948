package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.upstreams.DrainedZones;
import io.damaskyoke.follow.PollTiming;
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
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Simulates routers that follow one store, and checks what they guarantee: an acknowledged change
 * is in force at every router within two seconds, counted from the end of a fault if there was one;
 * a drained zone gets no requests once the limit of its drain has passed; no configuration is
 * replaced by an older one; a live upstream whose entry returns in time stays in use.
 */
final class StoreWorld {
    /**
     * The time within which a configuration, and the departure of an upstream, must be in force.
     */
    static final Duration BOUND = Duration.ofSeconds(2);

    /**
     * The time after an outage at which routers take a missing entry for a departure; until then it
     * may have expired, and its return is awaited.
     */
    static final Duration SETTLED = Duration.ofSeconds(3);

    /** The period at which routers report to each other. */
    private static final Duration GOSSIP = Duration.ofSeconds(1);

    private static final TestDialect DIALECT = new TestDialect();
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int ROUTERS = 3;
    private static final int UPSTREAMS = 4;

    private final TestControlThread world = new TestControlThread();
    private final SimulatedStore store = new SimulatedStore(world);
    private final List<FollowingRouter> routers = new ArrayList<>();
    private final TreeMap<Long, Instant> versionsPutAt = new TreeMap<>();
    private final Map<String, Instant> leftAt = new HashMap<>();
    private final Map<String, Instant> drainedAt = new HashMap<>();
    private final Map<String, Instant> joinedAt = new HashMap<>();
    private final Map<String, Instant> entriesRestoredAt = new HashMap<>();
    private final Map<String, Instant> zonesDrainedAt = new HashMap<>();
    private final Map<String, Instant> zonesRestoredAt = new HashMap<>();
    private final TreeSet<String> liveUpstreams = new TreeSet<>();
    private final Map<FollowingRouter, Set<String>> usedUpstreams = new HashMap<>();
    private final Map<FollowingRouter, Long> highestVersion = new HashMap<>();
    private final List<Runnable> postponed = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> eventLog = new ArrayList<>();
    private final Instant start = world.clock().instant();
    private int openOutages;
    private long version;
    private int upstreamCount;

    StoreWorld() {
        this(StorePollTimings.CONFIGURATION);
    }

    /** Creates a world whose routers follow the configuration at this pace. */
    StoreWorld(PollTiming timing) {
        this(timing, ROUTERS, 0);
    }

    /** Creates a world of routers that watch the store, and of routers that use them as relays. */
    StoreWorld(PollTiming timing, int watchers, int behindThem) {
        changeConfiguration();
        for (int each = 0; each < UPSTREAMS; each++) {
            addUpstream();
        }
        for (int each = 0; each < watchers; each++) {
            routers.add(new FollowingRouter("router-" + each, world, store, timing));
        }
        List<FollowingRouter> relays = List.copyOf(routers);
        for (int each = 0; each < behindThem; each++) {
            String name = "behind-" + each;
            routers.add(new FollowingRouter(name, world, store, timing, relays));
        }
        world.every(GOSSIP, this::gossip);
        advance(BOUND);
    }

    private void gossip() {
        for (FollowingRouter hearing : routers) {
            routers.stream().filter(each -> each != hearing).forEach(hearing::receiveReport);
        }
    }

    /** Returns the violated guarantees, one line each; each is listed once for a router. */
    List<String> violations() {
        return violations;
    }

    /** Returns the log of events, each with the milliseconds since the start. */
    List<String> eventLog() {
        return eventLog;
    }

    List<FollowingRouter> routers() {
        return routers;
    }

    /** Returns the number of calls of all routers to the store. */
    long storeCalls() {
        return routers.stream().mapToLong(FollowingRouter::storeCalls).sum();
    }

    /** Returns the upstreams that neither drain nor have left. */
    List<String> liveUpstreams() {
        return List.copyOf(liveUpstreams);
    }

    /** Lets time pass, and checks every router's guarantees at each step. */
    void advance(Duration duration) {
        Instant end = world.clock().instant().plus(duration);
        while (world.clock().instant().isBefore(end)) {
            world.advance(STEP);
            routers.forEach(this::check);
        }
    }

    void after(Duration delay, Runnable step) {
        world.after(delay, step);
    }

    /** Lets operators change the configuration; during an outage, as soon as it is over. */
    void changeConfiguration() {
        write(
                () -> {
                    version++;
                    store.put(DIALECT.configurationKey(), bytes(Long.toString(version)));
                    versionsPutAt.put(version, world.clock().instant());
                    log("version " + version);
                });
    }

    /** Adds a new upstream. */
    void addUpstream() {
        String id = "i-" + ++upstreamCount;
        write(
                () -> {
                    store.put("up/" + id, bytes("ready"));
                    liveUpstreams.add(id);
                    joinedAt.put(id, world.clock().instant());
                    log(id + " joins");
                });
    }

    /** Lets an upstream announce in its entry that it drains. */
    void drainUpstream(String id) {
        liveUpstreams.remove(id);
        write(
                () -> {
                    store.put("up/" + id, bytes("draining"));
                    drainedAt.put(id, world.clock().instant());
                    log(id + " drains");
                });
    }

    /** Lets operators drain a zone. */
    void drainZone(String zone) {
        write(
                () -> {
                    store.put(DIALECT.operatorPrefix() + "drained/" + zone, new byte[0]);
                    zonesRestoredAt.remove(zone);
                    zonesDrainedAt.put(zone, world.clock().instant());
                    log("zone " + zone + " is drained");
                });
    }

    /** Lets operators revoke the drain of a zone. */
    void restoreZone(String zone) {
        write(
                () -> {
                    store.remove(DIALECT.operatorPrefix() + "drained/" + zone);
                    zonesDrainedAt.remove(zone);
                    zonesRestoredAt.put(zone, world.clock().instant());
                    log("the drain of zone " + zone + " is revoked");
                });
    }

    /** Lets an upstream leave without draining first: its entry is removed. */
    void removeUpstream(String id) {
        liveUpstreams.remove(id);
        write(
                () -> {
                    store.remove("up/" + id);
                    leftAt.put(id, world.clock().instant());
                    log(id + " leaves");
                });
    }

    /** Lets an upstream's entry expire during an outage; the upstream writes it again later. */
    void expireEntry(String id, Duration untilBack) {
        log(id + " expires, back in " + untilBack.toMillis());
        store.remove("up/" + id);
        world.after(
                untilBack,
                () -> {
                    if (liveUpstreams.contains(id)) {
                        store.put("up/" + id, bytes("ready"));
                        log(id + " is back");
                    }
                });
    }

    /** Cuts off the store from routers, operators and upstreams. */
    void cutAll(SimulatedStorePath.State how, Duration length) {
        log("store " + how + " for " + length.toMillis());
        openOutages++;
        routers.forEach(each -> each.startPathFault(how));
        world.after(
                length,
                () -> {
                    log("store no longer " + how);
                    openOutages--;
                    routers.forEach(each -> each.endPathFault(how));
                    if (openOutages == 0) {
                        List<Runnable> steps = List.copyOf(postponed);
                        postponed.clear();
                        steps.forEach(Runnable::run);
                    }
                });
    }

    /** Cuts off the store from one router only. */
    void cut(FollowingRouter router, SimulatedStorePath.State how, Duration length) {
        log(router.name() + ' ' + how + " for " + length.toMillis());
        router.startPathFault(how);
        world.after(length, () -> router.endPathFault(how));
    }

    /** Freezes the VM of one router. */
    void freeze(FollowingRouter router, Duration length) {
        log(router.name() + " is frozen for " + length.toMillis());
        router.freeze();
        world.after(length, router::unfreeze);
    }

    /** Withholds changes from watch calls for a while, and then drops the history. */
    void dropHistory(Duration after) {
        log("history will be dropped in " + after.toMillis());
        store.withholdChanges();
        world.after(
                after,
                () -> {
                    store.dropHistory();
                    routers.forEach(FollowingRouter::recordRecovery);
                });
    }

    /**
     * Hides changes from watch calls, which are told that nothing has changed up to a revision past
     * them, and then ends that in the given way.
     */
    void hideChanges(Duration length, Consumer<SimulatedStore> end) {
        log("changes are hidden for " + length.toMillis());
        store.hideChanges();
        world.after(
                length,
                () -> {
                    end.accept(store);
                    log("changes are no longer hidden");
                    routers.forEach(FollowingRouter::recordRecovery);
                });
    }

    /** Tells the next change in no answer to a watch call. */
    void loseNextChange() {
        log("the next change is lost");
        store.loseNextChange();
    }

    /**
     * Replaces the entry of an upstream with one that can't be read; the upstream writes it again
     * later.
     */
    void spoilEntry(String id, Duration untilWrittenAgain) {
        liveUpstreams.remove(id);
        write(
                () -> {
                    store.put("up/" + id, bytes("junk"));
                    drainedAt.put(id, world.clock().instant());
                    log(id + " can't be read");
                });
        world.after(untilWrittenAgain, () -> write(() -> restoreEntry(id)));
    }

    private void restoreEntry(String id) {
        store.put("up/" + id, bytes("ready"));
        drainedAt.remove(id);
        entriesRestoredAt.put(id, world.clock().instant());
        usedUpstreams.values().forEach(known -> known.remove(id));
        liveUpstreams.add(id);
        log(id + " can be read again");
    }

    private void write(Runnable step) {
        if (openOutages > 0) {
            postponed.add(step);
        } else {
            step.run();
        }
    }

    private void check(FollowingRouter router) {
        long seen = router.version();
        if (seen < highestVersion.getOrDefault(router, 0L)) {
            report(router, "went back to version", seen);
        }
        highestVersion.merge(router, seen, Math::max);
        checkAlive(router, world.clock().instant());
        if (router.hasNoFault()) {
            checkOverdue(router, router.recoveredAt(), Duration.ZERO);
        } else if (router.hasOnlyPathFault()) {
            // A peer router without a fault passes on what it knows.
            routers.stream()
                    .filter(FollowingRouter::hasNoFault)
                    .map(FollowingRouter::recoveredAt)
                    .min(Instant::compareTo)
                    .map(recovered -> later(recovered, router.recoveredAt()))
                    .ifPresent(recovered -> checkOverdue(router, recovered, GOSSIP));
        }
    }

    private void checkOverdue(FollowingRouter router, Instant recovered, Duration more) {
        long seen = router.version();
        Instant now = world.clock().instant().minus(more);
        versionsPutAt.forEach(
                (number, at) -> {
                    if (seen < number && overdue(at, recovered, now)) {
                        report(router, "does not yet apply version", number);
                    }
                });
        drainedAt.forEach(
                (id, at) -> {
                    if (router.uses(id) && overdue(at, recovered, now)) {
                        report(router, "still uses, although it drains,", id);
                    }
                });
        zonesDrainedAt.forEach(
                (zone, at) -> {
                    Instant due = later(at.plus(DrainedZones.DEFAULT_LIMIT), recovered.plus(BOUND));
                    if (!now.isBefore(due)) {
                        in(zone).filter(router::uses)
                                .forEach(
                                        id -> report(router, "still uses, in a drained zone,", id));
                    }
                });
        leftAt.forEach(
                (id, at) -> {
                    Instant due = later(at.plus(BOUND), recovered.plus(SETTLED));
                    if (router.uses(id) && !now.isBefore(due)) {
                        report(router, "still uses, although it left,", id);
                    }
                });
    }

    private void checkAlive(FollowingRouter router, Instant now) {
        Set<String> known = usedUpstreams.computeIfAbsent(router, any -> new HashSet<>());
        for (String id : liveUpstreams) {
            Instant restored = restoredAt(id);
            if (zonesDrainedAt.containsKey(TestDialect.zone(id))) {
                known.remove(id);
            } else if (router.uses(id)) {
                // It may not have read a drain or a spoilt entry yet that is over since.
                if (restored == null || mustKnow(router, restored, now)) {
                    known.add(id);
                }
            } else if (known.contains(id)) {
                report(router, "does not use any more, although it is alive,", id);
            } else if (mustKnow(router, latest(joinedAt.get(id), restored), now)) {
                report(router, "does not use yet, although it joined,", id);
            }
        }
    }

    private Instant restoredAt(String id) {
        Instant zone = zonesRestoredAt.get(TestDialect.zone(id));
        Instant entry = entriesRestoredAt.get(id);
        return zone == null ? entry : latest(zone, entry);
    }

    private static boolean mustKnow(FollowingRouter router, Instant at, Instant now) {
        return router.hasNoFault() && overdue(at, router.recoveredAt(), now);
    }

    private static Instant latest(Instant joined, Instant restored) {
        return joined == null || restored == null ? joined : later(joined, restored);
    }

    private Stream<String> in(String zone) {
        return liveUpstreams.stream().filter(id -> TestDialect.zone(id).equals(zone));
    }

    private static boolean overdue(Instant at, Instant recovered, Instant now) {
        return at != null && !now.isBefore(later(at, recovered).plus(BOUND));
    }

    private void log(String what) {
        eventLog.add(Duration.between(start, world.clock().instant()).toMillis() + " " + what);
    }

    private void report(FollowingRouter router, String what, Object which) {
        String line = router.name() + ' ' + what + ' ' + which;
        if (!violations.contains(line)) {
            violations.add(line);
            log("VIOLATED: " + line);
        }
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
