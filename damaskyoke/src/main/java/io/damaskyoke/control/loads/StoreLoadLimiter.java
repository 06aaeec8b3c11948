package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the loads from the weight store: {@code limiter.allows(spec, engines, chosen, purpose,
 * now)}.
 *
 * <p>The store runs a few loads at once at full speed. More than that slow each other down, so that
 * all of them finish late. The number is not configured; it is estimated from how long loads take.
 * The store also limits how many loads may start within some seconds.
 */
final class StoreLoadLimiter {
    /**
     * Initial and highest estimate of the loads at full speed. A lower start would leave half of
     * the store idle.
     */
    private static final int MAX_FULL_SPEED_LOADS = 4;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Ratio to the time of an undisturbed load above which a load counts as slowed down by others.
     */
    private static final double SLOWDOWN_RATIO = 1.2;

    /**
     * Part of the allowed start rate that is used, because loads started by the previous leader
     * count too.
     */
    private static final double USED_RATE_PART = 0.8;

    /**
     * Time after an election by which a new leader has a report of each engine and knows which ones
     * are loading.
     */
    private static final Duration REPORT_TIME_AFTER_ELECTION = Duration.ofMillis(300);

    /**
     * Tolerance within which a load counts as having run beside as many loads as are known to run
     * at full speed.
     */
    private static final double CONCURRENCY_TOLERANCE = 0.5;

    private final Duration window;
    private final ArrayDeque<Instant> startTimes = new ArrayDeque<>();
    private final Map<Long, Double> loadSecondsAtStart = new HashMap<>();
    private int fullSpeedLoads = MAX_FULL_SPEED_LOADS;
    private Instant allReportedAt = Instant.MIN;
    private Instant runningRecordedAt = Instant.MIN;
    private double loadSeconds;
    private int running;
    private boolean estimated;

    /** What a load from the store is for. */
    enum Purpose {
        /** Requests wait for the model. */
        NEEDED,
        /** No request waits for the model. */
        AHEAD,
        /** The same, and there has been no request for any model yet. */
        BEFORE_REQUESTS
    }

    StoreLoadLimiter(Duration window) {
        this.window = window;
    }

    /** Records that this router became leader. */
    void elected(Instant now) {
        allReportedAt = now.plus(REPORT_TIME_AFTER_ELECTION);
    }

    /**
     * Returns true if one more load may start, in addition to those that this planning round has
     * chosen.
     *
     * @param chosen loads from the store that this round has chosen
     * @param purpose what the load is for
     */
    boolean allows(
            EngineSpec spec,
            Collection<EngineState> engines,
            int chosen,
            Purpose purpose,
            Instant now) {
        while (!startTimes.isEmpty() && startTimes.peek().plus(window).isBefore(now)) {
            startTimes.remove();
        }
        double maxStarts =
                Math.max(1, spec.loadsPerSecond() * window.toMillis() / 1000.0 * USED_RATE_PART);
        int maxRunning = usesAll(purpose) ? fullSpeedLoads : Math.max(1, fullSpeedLoads - 1);
        boolean reported =
                !now.isBefore(allReportedAt) || engines.stream().allMatch(EngineState::hasReported);
        return reported
                && startTimes.size() + chosen + 1 <= maxStarts
                && countRunning(engines) + chosen < maxRunning;
    }

    // Loads ahead of need leave one of the loads at full speed to models that requests wait for.
    // Before the first request there are none, but the estimate may be too high.
    private boolean usesAll(Purpose purpose) {
        return purpose == Purpose.NEEDED || purpose == Purpose.BEFORE_REQUESTS && estimated;
    }

    /** Records the number of running loads; called in each planning round. */
    void recordRunning(int runningNow, Instant now) {
        if (!runningRecordedAt.equals(Instant.MIN)) {
            loadSeconds += running * seconds(Duration.between(runningRecordedAt, now));
        }
        runningRecordedAt = now;
        running = runningNow;
    }

    /** Records that the order with that number starts a load. */
    void loadStarted(long order, Instant now) {
        startTimes.add(now);
        loadSecondsAtStart.put(order, loadSeconds);
    }

    /**
     * Records that the load of that order is finished, and updates the estimate.
     *
     * @param undisturbed time that the load takes undisturbed
     * @param took time that it took
     */
    void loadFinished(long order, Duration undisturbed, Duration took) {
        Double atStart = loadSecondsAtStart.remove(order);
        if (atStart == null) {
            return;
        }
        estimated = true;
        double concurrency = (loadSeconds - atStart) / seconds(took);
        double slowdown = seconds(took) / seconds(undisturbed);
        if (slowdown > SLOWDOWN_RATIO) {
            fullSpeedLoads = Math.max(1, (int) Math.round(concurrency / slowdown));
        } else if (concurrency > fullSpeedLoads - CONCURRENCY_TOLERANCE) {
            fullSpeedLoads = Math.min(MAX_FULL_SPEED_LOADS, fullSpeedLoads + 1);
        }
    }

    /** Records that the load of that order did not take place. */
    void loadCanceled(long order) {
        loadSecondsAtStart.remove(order);
    }

    /** Returns the estimated number of loads that run at full speed. */
    int fullSpeedLoads() {
        return fullSpeedLoads;
    }

    private static double seconds(Duration time) {
        return Math.max(1, time.toMillis()) / MILLIS_PER_SECOND;
    }

    // An engine that carries out an order of a previous leader may be loading from the store. If it
    // were not counted, each change of leader would start as many loads again beside those that are
    // running, and all of them would finish too late.
    static int countRunning(Collection<EngineState> engines) {
        return (int) engines.stream().filter(EngineState::mayLoadFromStore).count();
    }
}
