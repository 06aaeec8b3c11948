package io.damaskyoke.direct;

import io.damaskyoke.direct.SimulatedStorePath.State;
import java.time.Duration;
import java.util.List;
import java.util.Random;

/**
 * A minute of troubles between routers and the store, drawn by a seed, with changes before, during
 * and after each.
 */
final class StoreTroubles {
    private static final int TROUBLES = 8;
    private static final int LONGEST_MILLIS = 9_000;
    private static final int SHORTEST_MILLIS = 200;

    /** Entries lapse after three heartbeats of silence. */
    private static final Duration LAPSES_AFTER = Duration.ofSeconds(3);

    /** Those that lapsed are back by then, if their upstreams live. */
    private static final int BACK_MILLIS = 1_900;

    private static final int LEAST_UPSTREAMS = 3;

    private final StoreWorld world;
    private final Random random;
    private final Random drains;
    private boolean drainsToo;

    StoreTroubles(StoreWorld world, long seed) {
        this.world = world;
        this.random = new Random(seed);
        this.drains = new Random(~seed);
    }

    /** Operators also drain zones, and take that back. */
    StoreTroubles withDrains() {
        drainsToo = true;
        return this;
    }

    void play() {
        for (int each = 0; each < TROUBLES; each++) {
            Duration length = millis(SHORTEST_MILLIS, shortOrLong());
            trouble(length);
            changes(length);
            if (drainsToo) {
                drains(length);
            }
            // Often the next one comes while things still settle.
            world.pass(length.plusMillis(random.nextInt(5_000)));
        }
        world.pass(Duration.ofSeconds(8));
    }

    private int shortOrLong() {
        return random.nextBoolean() ? LONGEST_MILLIS : 1_500;
    }

    private void trouble(Duration length) {
        FollowingRouter one = world.routers().get(random.nextInt(world.routers().size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> outage(State.SILENT, length);
            case 2 -> outage(State.REFUSING, length);
            case 3 -> world.outage(State.SLOW, length);
            case 4 -> world.cut(one, State.SILENT, length);
            case 5 -> world.cut(one, State.ONE_WAY, length);
            case 6 -> world.freeze(one, length);
            default -> world.dropHistory(millis(500, 1_500));
        }
    }

    private void outage(State how, Duration length) {
        world.outage(how, length);
        if (length.compareTo(LAPSES_AFTER) > 0 && random.nextBoolean()) {
            Duration at = LAPSES_AFTER.plusMillis(random.nextInt(200));
            if (at.compareTo(length) < 0) {
                world.after(at, () -> lapseSome(length.minus(at)));
            }
        }
    }

    private void lapseSome(Duration untilReturn) {
        for (String id : world.alive()) {
            if (random.nextBoolean()) {
                world.lapse(id, untilReturn.plusMillis(100 + random.nextInt(BACK_MILLIS - 100)));
            }
        }
    }

    private void changes(Duration length) {
        int count = 1 + random.nextInt(6);
        for (int each = 0; each < count; each++) {
            // Most come in the seconds after the trouble's end, where knowledge is oldest.
            Duration at =
                    random.nextInt(3) == 0
                            ? millis(0, (int) length.toMillis() + 1)
                            : length.plusMillis(random.nextInt(4_000));
            world.after(at, this::change);
        }
    }

    private void drains(Duration length) {
        String zone = drains.nextBoolean() ? "a" : "b";
        int at = drains.nextInt((int) length.toMillis() + 3_000);
        // Some are taken back at once, some are set again within a moment.
        int lasts = drains.nextInt(3) == 0 ? 400 : 12_000;
        world.after(Duration.ofMillis(at), () -> world.drainZone(zone));
        int back = at + 50 + drains.nextInt(lasts);
        world.after(Duration.ofMillis(back), () -> world.restoreZone(zone));
        if (drains.nextInt(3) == 0) {
            int again = back + 20 + drains.nextInt(900);
            world.after(Duration.ofMillis(again), () -> world.drainZone(zone));
        }
    }

    private void change() {
        List<String> alive = world.alive();
        switch (random.nextInt(6)) {
            case 0 -> world.join();
            case 1 -> {
                if (alive.size() > LEAST_UPSTREAMS) {
                    world.drain(alive.get(random.nextInt(alive.size())));
                }
            }
            case 2 -> {
                if (alive.size() > LEAST_UPSTREAMS) {
                    world.leave(alive.get(random.nextInt(alive.size())));
                }
            }
            default -> world.change();
        }
    }

    private Duration millis(int from, int to) {
        return Duration.ofMillis(from + random.nextInt(Math.max(1, to - from)));
    }
}
