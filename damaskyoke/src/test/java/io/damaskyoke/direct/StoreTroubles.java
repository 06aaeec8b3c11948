package io.damaskyoke.direct;

import io.damaskyoke.direct.SimulatedStorePath.State;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Plays about a minute of random faults between routers and the store, reproducible by a seed, with
 * changes during and after each fault.
 */
final class StoreTroubles {
    private static final int FAULTS = 8;
    private static final int MAX_FAULT_MILLIS = 9_000;
    private static final int MIN_FAULT_MILLIS = 200;

    /** Entries expire after three missed heartbeats. */
    private static final Duration EXPIRES_AFTER = Duration.ofSeconds(3);

    /** Live upstreams write expired entries again within this time after an outage. */
    private static final int RETURN_MILLIS = 1_900;

    private static final int MIN_UPSTREAMS = 3;

    private final StoreWorld world;
    private final Random random;
    private final Random drainRandom;
    private final Random entryRandom;
    private boolean playsDrains;
    private boolean playsLostChanges;

    StoreTroubles(StoreWorld world, long seed) {
        this.world = world;
        this.random = new Random(seed);
        this.drainRandom = new Random(~seed);
        this.entryRandom = new Random(31 * seed);
    }

    /** Makes operators also drain and restore zones. */
    StoreTroubles withDrains() {
        playsDrains = true;
        return this;
    }

    /** Makes the store hide changes, and entries become unreadable for a while. */
    StoreTroubles withLostChanges() {
        playsLostChanges = true;
        return this;
    }

    void play() {
        for (int each = 0; each < FAULTS; each++) {
            Duration length = millis(MIN_FAULT_MILLIS, maxFaultMillis());
            startFault(length);
            scheduleChanges(length);
            if (playsDrains) {
                scheduleDrains(length);
            }
            if (playsLostChanges) {
                scheduleHiddenDeparture(length);
                scheduleUnreadableEntry(length);
            }
            // The next fault often begins before all is settled again.
            world.advance(length.plusMillis(random.nextInt(5_000)));
        }
        world.advance(Duration.ofSeconds(8));
    }

    private int maxFaultMillis() {
        return random.nextBoolean() ? MAX_FAULT_MILLIS : 1_500;
    }

    private void startFault(Duration length) {
        FollowingRouter one = world.routers().get(random.nextInt(world.routers().size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> outage(State.SILENT, length);
            case 2 -> outage(State.REFUSING, length);
            case 3 -> world.cutAll(State.SLOW, length);
            case 4 -> world.cut(one, State.SILENT, length);
            case 5 -> world.cut(one, State.ONE_WAY, length);
            case 6 -> world.freeze(one, length);
            default -> world.dropHistory(millis(500, 1_500));
        }
    }

    private void outage(State how, Duration length) {
        world.cutAll(how, length);
        if (length.compareTo(EXPIRES_AFTER) > 0 && random.nextBoolean()) {
            Duration at = EXPIRES_AFTER.plusMillis(random.nextInt(200));
            if (at.compareTo(length) < 0) {
                world.after(at, () -> expireSomeEntries(length.minus(at)));
            }
        }
    }

    private void expireSomeEntries(Duration untilReturn) {
        for (String id : world.liveUpstreams()) {
            if (random.nextBoolean()) {
                world.expireEntry(
                        id, untilReturn.plusMillis(100 + random.nextInt(RETURN_MILLIS - 100)));
            }
        }
    }

    private void scheduleChanges(Duration length) {
        int count = 1 + random.nextInt(6);
        for (int each = 0; each < count; each++) {
            // Most changes come in the seconds after the fault, when routers' data is oldest.
            Duration at =
                    random.nextInt(3) == 0
                            ? millis(0, (int) length.toMillis() + 1)
                            : length.plusMillis(random.nextInt(4_000));
            world.after(at, this::change);
        }
    }

    private void scheduleDrains(Duration length) {
        String zone = drainRandom.nextBoolean() ? "a" : "b";
        int at = drainRandom.nextInt((int) length.toMillis() + 3_000);
        // Some drains are revoked at once, and some are then requested again at once.
        int lasts = drainRandom.nextInt(3) == 0 ? 400 : 12_000;
        world.after(Duration.ofMillis(at), () -> world.drainZone(zone));
        int back = at + 50 + drainRandom.nextInt(lasts);
        world.after(Duration.ofMillis(back), () -> world.restoreZone(zone));
        if (drainRandom.nextInt(3) == 0) {
            int again = back + 20 + drainRandom.nextInt(900);
            world.after(Duration.ofMillis(again), () -> world.drainZone(zone));
        }
    }

    private void scheduleHiddenDeparture(Duration fault) {
        Duration from = fault.plusMillis(entryRandom.nextInt(3_000));
        Duration length = Duration.ofMillis(300 + entryRandom.nextInt(1_200));
        Consumer<SimulatedStore> end = endOfHiding();
        world.after(from, () -> world.hideChanges(length, end));
        Duration at = from.plusMillis(entryRandom.nextInt((int) length.toMillis()));
        boolean drains = entryRandom.nextBoolean();
        int which = entryRandom.nextInt(1_000);
        world.after(at, () -> depart(which, drains));
    }

    private Consumer<SimulatedStore> endOfHiding() {
        return switch (entryRandom.nextInt(3)) {
            case 0 -> SimulatedStore::dropHistory;
            case 1 -> SimulatedStore::stopHidingChanges;
            default ->
                    store -> {
                        store.stopHidingChanges();
                        store.failWaitingCalls();
                    };
        };
    }

    private void depart(int which, boolean drains) {
        List<String> alive = world.liveUpstreams();
        if (alive.size() <= MIN_UPSTREAMS) {
            world.addUpstream();
        } else if (drains) {
            world.drainUpstream(alive.get(which % alive.size()));
        } else {
            world.removeUpstream(alive.get(which % alive.size()));
        }
    }

    private void scheduleUnreadableEntry(Duration fault) {
        Duration at = fault.plusMillis(entryRandom.nextInt(4_000));
        Duration length = Duration.ofMillis(200 + entryRandom.nextInt(6_000));
        int which = entryRandom.nextInt(1_000);
        world.after(
                at,
                () -> {
                    List<String> alive = world.liveUpstreams();
                    if (!alive.isEmpty()) {
                        world.spoilEntry(alive.get(which % alive.size()), length);
                    }
                });
    }

    private void change() {
        List<String> alive = world.liveUpstreams();
        switch (random.nextInt(6)) {
            case 0 -> world.addUpstream();
            case 1 -> {
                if (alive.size() > MIN_UPSTREAMS) {
                    world.drainUpstream(alive.get(random.nextInt(alive.size())));
                }
            }
            case 2 -> {
                if (alive.size() > MIN_UPSTREAMS) {
                    world.removeUpstream(alive.get(random.nextInt(alive.size())));
                }
            }
            default -> world.changeConfiguration();
        }
    }

    private Duration millis(int from, int to) {
        return Duration.ofMillis(from + random.nextInt(Math.max(1, to - from)));
    }
}
