package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How much of the weight store is in use: {@code loads.allows(spec, engines, chosen, needed, now)}.
 *
 * <p>The store runs a few loads at once at full speed; more make each other slower, so that all of
 * them come late. How many that are nobody says: it shows in how long loads take. The store also
 * allows only so many to begin within some seconds.
 */
final class StoreLoads {
    /** As many are tried at first, and never more; too few would leave half of the store idle. */
    private static final int MOST_TRIED = 4;

    private static final double MILLIS_A_SECOND = 1_000;

    /** A load that takes so many times as long as alone was slowed down by others. */
    private static final double SLOWED = 1.2;

    /** The part of the allowed rate that is used: loads of the leader before this one count too. */
    private static final double PART = 0.8;

    /** A new leader has a report of each engine by then, and knows which are loading. */
    private static final Duration REPORTED = Duration.ofMillis(300);

    /** Of a load that runs beside the most that are known to run at full speed. */
    private static final double NEARLY_ONE = 0.5;

    private final Duration window;
    private final ArrayDeque<Instant> begun = new ArrayDeque<>();
    private final Map<Long, Double> loadSecondsAtStart = new HashMap<>();
    private int atFullSpeed = MOST_TRIED;
    private Instant reportedAt = Instant.MIN;
    private Instant lookedAt = Instant.MIN;
    private double loadSeconds;
    private int running;

    StoreLoads(Duration window) {
        this.window = window;
    }

    /** This router gives the orders from now on. */
    void elected(Instant now) {
        reportedAt = now.plus(REPORTED);
    }

    /** True if one more may begin, beside so many that this round of planning has chosen. */
    boolean allows(
            EngineSpec spec, Collection<Engine> engines, int chosen, boolean needed, Instant now) {
        while (!begun.isEmpty() && begun.peek().plus(window).isBefore(now)) {
            begun.remove();
        }
        double most = Math.max(1, spec.loadsPerSecond() * window.toMillis() / 1000.0 * PART);
        // Loads ahead of need leave one of those that run at full speed to a request.
        int places = needed ? atFullSpeed : Math.max(1, atFullSpeed - 1);
        boolean reported = !now.isBefore(reportedAt) || engines.stream().allMatch(Engine::reported);
        return reported && begun.size() + chosen + 1 <= most && running(engines) + chosen < places;
    }

    /** So many run now; called at each round of planning. */
    void look(int runningNow, Instant now) {
        if (!lookedAt.equals(Instant.MIN)) {
            loadSeconds += running * seconds(Duration.between(lookedAt, now));
        }
        lookedAt = now;
        running = runningNow;
    }

    /** The order of that number begins a load. */
    void begun(long order, Instant now) {
        begun.add(now);
        loadSecondsAtStart.put(order, loadSeconds);
    }

    /** The load of that order, which takes so long alone, is over after this time. */
    void ended(long order, Duration alone, Duration took) {
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

    /** The load of that order did not come about. */
    void calledOff(long order) {
        loadSecondsAtStart.remove(order);
    }

    /** How many run at full speed, as far as is known. */
    int atFullSpeed() {
        return atFullSpeed;
    }

    private static double seconds(Duration time) {
        return Math.max(1, time.toMillis()) / MILLIS_A_SECOND;
    }

    // An engine that is busy with an order of a leader before may be loading from the store. Not
    // counted, each change of the leader would put as many loads again beside those under way, and
    // all of them would come too late for everybody.
    static int running(Collection<Engine> engines) {
        return (int) engines.stream().filter(Engine::mayLoadFromStore).count();
    }
}
