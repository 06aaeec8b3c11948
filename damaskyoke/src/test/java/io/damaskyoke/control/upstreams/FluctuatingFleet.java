package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.EvenShare;
import io.damaskyoke.control.cold.UpstreamShare;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * A simulation of routers and upstreams of unequal speed, some of which are slower for a moment:
 * {@code new FluctuatingFleet(seed, 27, 27, true).run(20)}.
 */
final class FluctuatingFleet {
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final double SLOWER = 2.5;
    private static final long TURN_MICROS = 600_000;
    private static final int UPSTREAMS = 36;
    private static final int SLOTS = 32;
    private static final double ARRIVALS_PER_SECOND = 600;

    /** A run alone at speed 1, and its part until the first event. */
    private static final long RUN_MICROS = 500_000;

    private static final double FIRST_EVENT_PART = 0.2;
    private static final long LEAST_AGE_MICROS = 100_000;
    private static final long GREATEST_AGE_MICROS = 2_000_000;
    private static final long SAMPLE_MICROS = 10_000;
    private static final long WARM_UP_MICROS = 3_000_000;
    private static final Instant START = Instant.ofEpochSecond(1_000);

    private final Random random;
    private final boolean relativeTimes;
    private final List<Router> routers = new ArrayList<>();
    private final long[] held = new long[UPSTREAMS];
    private final long[] heldInAll = new long[UPSTREAMS];
    private final boolean[] slow = new boolean[UPSTREAMS];
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequence;
    private double sumOfBusiest;
    private int samples;
    private int unsent;

    /** One router with its own view of the upstreams. */
    private final class Router {
        private final UpstreamTable table = new UpstreamTable();
        private final UpstreamSelector selector;
        private final long[] reportedAt = new long[UPSTREAMS];

        Router(UpstreamShare share) {
            for (int each = 0; each < UPSTREAMS; each++) {
                table.put(facts(each), instant());
            }
            selector = new UpstreamSelector("a", 1.0, share, new Random(random.nextLong()));
        }

        Upstream upstream(int index) {
            return table.find(id(index)).orElseThrow();
        }

        void reported(int upstream, LoadReport load, long at) {
            if (at >= reportedAt[upstream]) {
                reportedAt[upstream] = at;
                upstream(upstream).loadReported(load, START.plusNanos(at * 1_000));
            }
        }
    }

    private record Event(long at, long sequence, Runnable step) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Creates a fleet.
     *
     * @param knownRouters the number of routers that each believes there are
     * @param relativeTimes whether the upstreams report how long work takes there now
     */
    FluctuatingFleet(long seed, int count, int knownRouters, boolean relativeTimes) {
        this.random = new Random(seed);
        this.relativeTimes = relativeTimes;
        List<VmId> known = new ArrayList<>();
        for (int each = 0; each < knownRouters; each++) {
            known.add(VmId.of("router-" + each));
        }
        for (int each = 0; each < count; each++) {
            VmId self = known.get(each % knownRouters);
            routers.add(new Router(new EvenShare(self, () -> known)));
        }
    }

    /**
     * Runs so many seconds and returns how many requests per speed the busiest upstream of each
     * moment held, relative to the mean of all.
     */
    double run(int seconds) {
        turn();
        arrive();
        sample();
        for (Router router : routers) {
            for (int each = 0; each < UPSTREAMS; each++) {
                refresh(router, each);
            }
        }
        while (!events.isEmpty() && events.peek().at() < seconds * 1_000_000L) {
            Event next = events.remove();
            now = next.at();
            next.step().run();
        }
        return sumOfBusiest / samples;
    }

    /** Returns the ratio of the upstream that held the most per speed over the whole run. */
    double busiestOverRun() {
        return busiestRatio(heldInAll);
    }

    /** Returns the number of requests that found no upstream. */
    int unsent() {
        return unsent;
    }

    private void turn() {
        Arrays.fill(slow, false);
        random.ints(0, UPSTREAMS)
                .distinct()
                .limit(UPSTREAMS / 6)
                .forEach(each -> slow[each] = true);
        after(TURN_MICROS, this::turn);
    }

    private void arrive() {
        after(
                (long) (-Math.log(1 - random.nextDouble()) * 1_000_000 / ARRIVALS_PER_SECOND),
                this::arrive);
        Router router = routers.get(random.nextInt(routers.size()));
        router.selector
                .pick(router.table.ofService("service"), null, Set.of(), instant())
                .ifPresentOrElse(upstream -> send(router, upstream), () -> unsent++);
    }

    private void send(Router router, Upstream upstream) {
        int index = Integer.parseInt(upstream.facts().id().value());
        upstream.requestAssigned(null, instant());
        held[index]++;
        long sentAt = now;
        double work = RUN_MICROS * (0.5 + random.nextDouble());
        after(
                (long) (work * FIRST_EVENT_PART * timePerWork(index)),
                () -> {
                    upstream.requestAnswered(Duration.ofNanos((now - sentAt) * 1_000), instant());
                    report(router, index);
                    after(
                            (long) (work * (1 - FIRST_EVENT_PART) * timePerWork(index)),
                            () -> {
                                held[index]--;
                                upstream.requestFinished(null);
                            });
                });
    }

    private double timePerWork(int index) {
        double batch = 1 + (double) held[index] / SLOTS;
        return batch * relativeTime(index) / speed(index);
    }

    private double relativeTime(int index) {
        return slow[index] ? SLOWER : 1;
    }

    private static double speed(int index) {
        return SPEEDS[index % SPEEDS.length];
    }

    // A report arrives when it has the least age, and is replaced at the latest at the greatest.
    private void report(Router router, int index) {
        OptionalInt percent =
                relativeTimes
                        ? OptionalInt.of((int) (100 * relativeTime(index)))
                        : OptionalInt.empty();
        LoadReport load =
                new LoadReport(
                        OptionalInt.of((int) held[index]),
                        OptionalInt.of(0),
                        OptionalInt.of(SLOTS),
                        percent);
        long at = now;
        after(LEAST_AGE_MICROS, () -> router.reported(index, load, at));
    }

    private void refresh(Router router, int index) {
        long dueIn = router.reportedAt[index] + GREATEST_AGE_MICROS - LEAST_AGE_MICROS - now;
        if (now == 0) {
            after((long) (random.nextDouble() * dueIn), () -> refreshNow(router, index));
        } else if (dueIn > 0) {
            after(dueIn, () -> refresh(router, index));
        } else {
            refreshNow(router, index);
        }
    }

    private void refreshNow(Router router, int index) {
        report(router, index);
        after(LEAST_AGE_MICROS + 1, () -> refresh(router, index));
    }

    private void sample() {
        if (now > WARM_UP_MICROS) {
            sumOfBusiest += busiestRatio(held);
            samples++;
            Arrays.setAll(heldInAll, each -> heldInAll[each] + held[each]);
        }
        after(SAMPLE_MICROS, this::sample);
    }

    private static double busiestRatio(long[] requests) {
        double speeds = 0;
        double busiest = 0;
        for (int each = 0; each < UPSTREAMS; each++) {
            speeds += speed(each);
            busiest = Math.max(busiest, requests[each] / speed(each));
        }
        return busiest * speeds / Arrays.stream(requests).sum();
    }

    private void after(long micros, Runnable step) {
        events.add(new Event(now + micros, sequence++, step));
    }

    private Instant instant() {
        return START.plusNanos(now * 1_000);
    }

    private static UpstreamId id(int index) {
        return UpstreamId.of(Integer.toString(index));
    }

    private static UpstreamFacts facts(int index) {
        return new UpstreamFacts(
                id(index),
                1,
                "service",
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
