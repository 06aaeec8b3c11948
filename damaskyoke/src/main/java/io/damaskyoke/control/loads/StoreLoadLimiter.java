package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the loads from the weight store: {@code loads.allows(spec, engines, chosen, needed, now)}.
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
    private static final int MOST_TRIED = 4;

    private static final double MILLIS_A_SECOND = 1_000;

    /**
     * Ratio to the time of an undisturbed load above which a load counts as slowed down by others.
     */
    private static final double SLOWED = 1.2;

    /**
     * Part of the allowed start rate that is used, because loads started by the previous leader
     * count too.
     */
    private static final double PART = 0.8;

    /**
     * Time after an election by which a new leader has a report of each engine and knows which ones
     * are loading.
     */
    private static final Duration REPORTED = Duration.ofMillis(300);

    /**
     * Tolerance within which a load counts as having run beside as many loads as are known to run
     * at full speed.
     */
    private static final double NEARLY_ONE = 0.5;

    private final Duration window;
    private final ArrayDeque<Instant> begun = new ArrayDeque<>();
    private final Map<Long, Double> loadSecondsAtStart = new HashMap<>();
    private int atFullSpeed = MOST_TRIED;
    private Instant reportedAt = Instant.MIN;
    private Instant lookedAt = Instant.MIN;
    private double loadSeconds;
    private int running;

    StoreLoadLimiter(Duration window) {
        this.window = window;
    }

    /** Records that this router became leader. */
    void elected(Instant now) {
        reportedAt = now.plus(REPORTED);
    }

    /**
     * Returns true if one more load may start, in addition to those that this planning round has
     * chosen.
     *
     * @param chosen loads from the store that this round has chosen
     * @param needed whether requests wait for the model
     */
    boolean allows(
            EngineSpec spec,
            Collection<EngineState> engines,
            int chosen,
            boolean needed,
            Instant now) {
        while (!begun.isEmpty() && begun.peek().plus(window).isBefore(now)) {
            begun.remove();
        }
        double most = Math.max(1, spec.loadsPerSecond() * window.toMillis() / 1000.0 * PART);
        // Loads ahead of need leave one of the loads at full speed to models that requests wait
        // for.
        int places = needed ? atFullSpeed : Math.max(1, atFullSpeed - 1);
        boolean reported =
                !now.isBefore(reportedAt) || engines.stream().allMatch(EngineState::hasReported);
        return reported
                && begun.size() + chosen + 1 <= most
                && countRunning(engines) + chosen < places;
    }

    /** Records the number of running loads; called in each planning round. */
    void recordRunning(int runningNow, Instant now) {
        if (!lookedAt.equals(Instant.MIN)) {
            loadSeconds += running * seconds(Duration.between(lookedAt, now));
        }
        lookedAt = now;
        running = runningNow;
    }

    /** Records that the order with that number starts a load. */
    void loadStarted(long order, Instant now) {
        begun.add(now);
        loadSecondsAtStart.put(order, loadSeconds);
    }

    /**
     * Records that the load of that order is finished, and updates the estimate.
     *
     * @param alone time that the load takes undisturbed
     * @param took time that it took
     */
    void loadFinished(long order, Duration alone, Duration took) {
        Double atStart = loadSecondsAtStart.remove(order);
        if (atStart == null) {
            return;
        }
        double beside = (loadSeconds - atStart) / seconds(took);
        double slower = seconds(took) / seconds(alone);
        if (slower > SLOWED) {
            atFullSpeed = Math.max(1, (int) Math.round(beside / slower));
        } else if (beside > atFullSpeed - NEARLY_ONE) {
            atFullSpeed = Math.min(MOST_TRIED, atFullSpeed + 1);
        }
    }

    /** Records that the load of that order did not take place. */
    void loadCanceled(long order) {
        loadSecondsAtStart.remove(order);
    }

    /** Returns the estimated number of loads that run at full speed. */
    int fullSpeedLoads() {
        return atFullSpeed;
    }

    private static double seconds(Duration time) {
        return Math.max(1, time.toMillis()) / MILLIS_A_SECOND;
    }

    // An engine that carries out an order of a previous leader may be loading from the store. If it
    // were not counted, each change of leader would start as many loads again beside those that are
    // running, and all of them would finish too late.
    static int countRunning(Collection<EngineState> engines) {
        return (int) engines.stream().filter(EngineState::mayLoadFromStore).count();
    }
}
