package io.damaskyoke.direct;

import java.time.Duration;
import java.util.Random;

/** Plays half a minute of faults between a leader and upstreams, drawn at random from a seed. */
final class OrderFaults {
    private static final int TROUBLES = 8;
    private static final int LONGEST_PAUSE_MILLIS = 2_500;
    private static final int LONGEST_DOWN_MILLIS = 4_500;
    private static final int LONGEST_FREEZE_MILLIS = 6_000;

    private final OrderSimulation world;
    private final Random random;

    OrderFaults(OrderSimulation world, long seed) {
        this.world = world;
        this.random = new Random(seed);
    }

    void play() {
        world.advance(Duration.ofSeconds(2));
        for (int each = 0; each < TROUBLES; each++) {
            injectFault();
            world.advance(Duration.ofMillis(random.nextInt(LONGEST_PAUSE_MILLIS)));
        }
        world.delayOrders(0);
        world.loseAnswers(0);
        world.advance(Duration.ofSeconds(13));
    }

    private void injectFault() {
        SimulatedOrderRouter router = world.routers().get(random.nextInt(world.routers().size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> world.delayOrders(random.nextDouble() * 0.7);
            case 2 -> world.loseAnswers(random.nextDouble() * 0.5);
            case 3, 4, 5 -> restart();
            case 6 -> suspend(router);
            default -> resignOrPartition(router);
        }
    }

    private void restart() {
        SimulatedEngine engine = world.engines().get(random.nextInt(world.engines().size()));
        world.restart(engine, Duration.ofMillis(1 + random.nextInt(LONGEST_DOWN_MILLIS)));
    }

    private void suspend(SimulatedOrderRouter router) {
        int millis = random.nextInt(LONGEST_FREEZE_MILLIS);
        world.recordEvent(router.vm() + " is suspended for " + millis);
        router.suspend();
        world.after(Duration.ofMillis(millis), router::resume);
    }

    private void resignOrPartition(SimulatedOrderRouter router) {
        if (random.nextBoolean()) {
            world.recordEvent(router.vm() + " resigns");
            router.resign();
            return;
        }
        int millis = random.nextInt(LONGEST_FREEZE_MILLIS);
        world.recordEvent(router.vm() + " is partitioned from the store for " + millis);
        router.setPartitioned(true);
        world.after(Duration.ofMillis(millis), () -> router.setPartitioned(false));
    }
}
