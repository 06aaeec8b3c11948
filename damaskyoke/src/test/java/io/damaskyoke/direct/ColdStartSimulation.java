package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.cold.ColdLimit;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A simulation, in virtual time, of routers that share upstreams in three zones. Whole zones lose
 * power and return at once, cold, while requests for them queue at all routers; upstreams become
 * cold without a restart; routers are new, cut off or informed late. A cold upstream that gets more
 * requests in a second than its limit is counted, and crashes if it gets far more.
 */
final class ColdStartSimulation {
    static final String SERVICE = "engines";
    static final Duration COLD_TIME = Duration.ofSeconds(3);
    static final double COLD_LIMIT = 48.5;

    /** Changes of the list arrive late by at most a heartbeat and the way through a relay. */
    static final Duration MAX_LIST_DELAY = Duration.ofMillis(2_000);

    /** The most time an announced loss takes, through a router that passes it on. */
    static final Duration MAX_LOSS_DELAY = Duration.ofMillis(60);

    private static final double CRASH_FACTOR = 1.5;
    private static final int UPSTREAMS = 6;
    private static final int ZONES = 3;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration ENTRY_EXPIRY = Duration.ofMillis(3_600);

    final TestControlThread time = new TestControlThread();
    final Random random;
    private final Rules rules;
    private final List<ColdStartUpstream> engines = new ArrayList<>();
    private final List<ColdStartRouter> routers = new ArrayList<>();
    private final Map<String, UpstreamFacts> list = new TreeMap<>();
    private final double[] weights;
    private double perSecond;
    private int exceeded;
    private long asked;
    private long waited;
    private long refused;

    /**
     * The settings of a simulation.
     *
     * @param shared whether routers keep to their share of a cold upstream's limit
     * @param assumeLostCold whether a lost upstream counts as cold before the list says so
     * @param listDelay the largest delay of changes of the list
     * @param lossDelay the largest delay of announcements of a loss
     */
    record Rules(boolean shared, boolean assumeLostCold, Duration listDelay, Duration lossDelay) {
        static Rules defaults() {
            return new Rules(true, true, MAX_LIST_DELAY, MAX_LOSS_DELAY);
        }
    }

    ColdStartSimulation(int count, long seed, Rules rules) {
        this.random = new Random(seed);
        this.rules = rules;
        for (int each = 0; each < UPSTREAMS; each++) {
            engines.add(new ColdStartUpstream(this, "i-" + each, "zone-" + each % ZONES));
        }
        engines.forEach(ColdStartUpstream::start);
        for (int each = 0; each < count; each++) {
            routers.add(new ColdStartRouter(this, VmId.of("router-" + each)));
        }
        routers.forEach(ColdStartRouter::start);
        weights = weights(count);
    }

    private double[] weights(int count) {
        double[] drawn = new double[count];
        double sum = 0;
        for (int each = 0; each < count; each++) {
            drawn[each] = 0.3 + random.nextDouble();
            sum += drawn[each];
        }
        for (int each = 0; each < count; each++) {
            drawn[each] /= sum;
        }
        return drawn;
    }

    Rules rules() {
        return rules;
    }

    Instant now() {
        return time.clock().instant();
    }

    ColdLimit limit() {
        return new ColdLimit(COLD_TIME, COLD_LIMIT);
    }

    List<VmId> routerNames() {
        return routers.stream().map(ColdStartRouter::name).toList();
    }

    List<ColdStartRouter> routers() {
        return routers;
    }

    ColdStartUpstream engine(String id) {
        return engines.get(Integer.parseInt(id.substring(2)));
    }

    Map<String, UpstreamFacts> list() {
        return list;
    }

    /** Sets how many requests a second arrive at all routers together. */
    void demand(double requestsPerSecond) {
        perSecond = requestsPerSecond;
    }

    void advance(Duration duration) {
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            arrivals();
            time.advance(STEP);
        }
    }

    private void arrivals() {
        double expected = perSecond * STEP.toMillis() / 1000.0;
        while (random.nextDouble() < expected) {
            expected -= 1;
            asked++;
            drawRouter().sendRequest();
        }
    }

    private ColdStartRouter drawRouter() {
        double place = random.nextDouble();
        int at = 0;
        while (at < weights.length - 1 && place >= weights[at]) {
            place -= weights[at];
            at++;
        }
        return routers.get(at);
    }

    /** Takes a whole zone down for the given time, either silent or refusing connections. */
    void failZone(int zone, Duration length, boolean dark) {
        for (int each = zone; each < UPSTREAMS; each += ZONES) {
            engines.get(each).crash(length, dark);
        }
    }

    /** Writes an upstream's entry, which each router receives after its own delay. */
    void write(UpstreamFacts facts) {
        list.put(facts.id().value(), facts);
        routers.forEach(each -> each.entryWritten(facts, randomListDelay()));
    }

    /** Removes the entry of an upstream that has been silent for too long. */
    void expireEntry(ColdStartUpstream engine) {
        time.after(
                ENTRY_EXPIRY,
                () -> {
                    if (!engine.isUp()) {
                        list.remove(engine.id());
                        routers.forEach(each -> each.entryRemoved(engine.id(), randomListDelay()));
                    }
                });
    }

    /** Announces to the other routers that one has lost its connection to an upstream. */
    void announceLoss(ColdStartRouter from, UpstreamId upstream) {
        for (ColdStartRouter each : routers) {
            if (each != from) {
                Duration way =
                        Duration.ofMillis(2 + random.nextInt((int) rules.lossDelay().toMillis()));
                time.after(way, () -> each.lossReceived(upstream));
            }
        }
    }

    private Duration randomListDelay() {
        return Duration.ofMillis(5 + random.nextInt((int) rules.listDelay().toMillis()));
    }

    /** Counts a second with more requests than the limit; true if it is far exceeded. */
    boolean recordRate(int inSecond) {
        if (inSecond > COLD_LIMIT) {
            exceeded++;
        }
        return inSecond > COLD_LIMIT * CRASH_FACTOR;
    }

    void recordQueued() {
        waited++;
    }

    void recordRefused() {
        refused++;
    }

    /** Returns how many requests a cold upstream got beyond its limit for a second. */
    int exceeded() {
        return exceeded;
    }

    long requests() {
        return asked;
    }

    /** Returns how many requests were queued rather than sent at once. */
    long queuedRequests() {
        return waited;
    }

    long refusedRequests() {
        return refused;
    }
}
