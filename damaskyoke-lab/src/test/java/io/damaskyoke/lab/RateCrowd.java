package io.damaskyoke.lab;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.rates.WaitLimits;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/**
 * A fleet of unlike routers and its workspaces, a few of which send several times their usual: what
 * is let in, and at how many messages: {@code RateCrowd.of(28, seed).run(day).refused()}.
 */
final class RateCrowd {
    private static final int WORKSPACES = 16;
    private static final int HOT = 3;

    /** Of its rate, what a workspace usually asks for. */
    private static final double USUAL_PART = 0.35;

    private static final double HOT_TIMES = 4;
    private static final double LEAST_RATE = 9_000;
    private static final double RATE_RANGE = 40_000;
    private static final int LEAST_TOKENS = 200;
    private static final int TOKENS_RANGE = 2_600;

    /** From here on, asks come once shares are dealt out. */
    private static final Duration SETTLED = Duration.ofSeconds(12);

    /** A router on a whole core takes a tenth of a millisecond for a message. */
    private static final Duration QUICK = Duration.ofNanos(150_000);

    private static final Duration SLOW = Duration.ofNanos(450_000);
    private static final int SLOW_OF_FIVE = 4;
    private static final Duration AGAIN = Duration.ofSeconds(1);

    private static final List<WaitLimits> WAITS =
            List.of(
                    new WaitLimits(Duration.ofMillis(300), Duration.ofMillis(1_800)),
                    new WaitLimits(Duration.ofMillis(1_250), Duration.ofMillis(1_800)),
                    new WaitLimits(Duration.ofMillis(60), Duration.ofMillis(300)));

    private final Random arrivals;
    private final Random places;
    private final int routers;
    private final RateWorld world;
    private final Map<ExchangeId, Ask> open = new HashMap<>();
    private final Map<WorkspaceId, Workspace> workspaces = workspaces();
    private long counter;
    private long requests;
    private long refusedTokens;
    private long tokens;
    private Instant begins;
    private Instant ends;

    private record Ask(WorkspaceId workspace, long tokens, WaitLimits within, boolean again) {}

    private RateCrowd(int routers, long seed) {
        this.routers = routers;
        this.arrivals = new Random(seed);
        this.places = new Random(seed + 1);
        this.world = new RateWorld(seed, RateSettings.direct(), workspaces, this::verdict);
        world.ticksWhileWaiting = true;
    }

    /** A fleet in which four of five routers have a part of a core. */
    static RateCrowd of(int routers, long seed) {
        RateCrowd crowd = new RateCrowd(routers, seed);
        crowd.world.pace = vm -> vm.value().hashCode() % 5 < SLOW_OF_FIVE ? SLOW : QUICK;
        return crowd;
    }

    /** The same callers at one router that takes no time: the least that must be refused. */
    static RateCrowd oneBucket(long seed) {
        return new RateCrowd(1, seed);
    }

    private static Map<WorkspaceId, Workspace> workspaces() {
        Map<WorkspaceId, Workspace> all = new TreeMap<>();
        for (int each = 0; each < WORKSPACES; each++) {
            WorkspaceId id = WorkspaceId.of("workspace-" + each);
            double rate = LEAST_RATE + RATE_RANGE * each / WORKSPACES;
            all.put(id, new Workspace(id, rate, rate, 1));
        }
        return all;
    }

    /** Plays that long, once the shares are dealt out. */
    RateCrowd run(Duration day) {
        for (int each = 0; each < routers; each++) {
            world.start("router-" + each);
        }
        world.run(SETTLED);
        begins = world.now();
        ends = begins.plus(day);
        int place = 0;
        for (Workspace workspace : workspaces.values()) {
            boolean hot = place++ % (WORKSPACES / HOT) == 0;
            double perSecond = workspace.rate() * USUAL_PART * (hot ? HOT_TIMES : 1);
            next(workspace.id(), perSecond / (LEAST_TOKENS + TOKENS_RANGE / 2.0));
        }
        world.messages = 0;
        world.run(day.plusSeconds(4));
        return this;
    }

    private void next(WorkspaceId workspace, double perSecond) {
        double seconds = -Math.log(1 - arrivals.nextDouble()) / perSecond;
        world.after(
                Duration.ofNanos((long) (seconds * 1e9)),
                () -> {
                    if (world.now().isBefore(ends)) {
                        long size = LEAST_TOKENS + arrivals.nextInt(TOKENS_RANGE);
                        WaitLimits wait = WAITS.get(arrivals.nextInt(WAITS.size()));
                        int router = places.nextInt(routers);
                        requests++;
                        tokens += size;
                        arrive(router, new Ask(workspace, size, wait, false));
                        next(workspace, perSecond);
                    }
                });
    }

    private void arrive(int router, Ask ask) {
        RateWorld.Router there = world.routers.get(VmId.of("router-" + router));
        ExchangeId id = new ExchangeId(there.incarnation, ++counter);
        open.put(id, ask);
        world.feed(
                there,
                new RateInput.RequestArrived(
                        id, ask.workspace(), ask.tokens(), Optional.of(ask.within())));
    }

    private void verdict(ExchangeId id, boolean in) {
        Ask ask = open.remove(id);
        if (in) {
            return;
        }
        if (ask.again()) {
            refusedTokens += ask.tokens();
            return;
        }
        int elsewhere = places.nextInt(routers);
        Ask second = new Ask(ask.workspace(), ask.tokens(), ask.within(), true);
        world.after(AGAIN, () -> arrive(elsewhere, second));
    }

    /** The part of what is asked for that is refused twice. */
    double refused() {
        return refusedTokens / (double) tokens;
    }

    double messagesPerRequest() {
        return world.messages / (double) requests;
    }

    @Override
    public String toString() {
        return String.format(
                "refused %.3f, %.1f messages a request, %d requests",
                refused(), messagesPerRequest(), requests);
    }
}
