package io.damaskyoke.direct;

import java.time.Duration;
import java.util.Random;

/** Plays half a minute of faults between a leader and upstreams, drawn at random from a seed. */
final class OrderTroubles {
    private static final int TROUBLES = 8;
    private static final int LONGEST_PAUSE_MILLIS = 2_500;
    private static final int LONGEST_DOWN_MILLIS = 4_500;
    private static final int LONGEST_FREEZE_MILLIS = 6_000;

    private final OrderWorld world;
    private final Random random;

    OrderTroubles(OrderWorld world, long seed) {
        this.world = world;
        this.random = new Random(seed);
    }

    void play() {
        world.pass(Duration.ofSeconds(2));
        for (int each = 0; each < TROUBLES; each++) {
            trouble();
            world.pass(Duration.ofMillis(random.nextInt(LONGEST_PAUSE_MILLIS)));
        }
        world.late(0);
        world.lost(0);
        world.pass(Duration.ofSeconds(13));
    }

    private void trouble() {
        OrderingRouter router = world.routers().get(random.nextInt(world.routers().size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> world.late(random.nextDouble() * 0.7);
            case 2 -> world.lost(random.nextDouble() * 0.5);
            case 3, 4, 5 -> restart();
            case 6 -> stand(router);
            default -> leave(router);
        }
    }

    private void restart() {
        SimulatedEngine engine = world.engines().get(random.nextInt(world.engines().size()));
        world.restart(engine, Duration.ofMillis(1 + random.nextInt(LONGEST_DOWN_MILLIS)));
    }

    private void stand(OrderingRouter router) {
        int millis = random.nextInt(LONGEST_FREEZE_MILLIS);
        world.tell(router.vm() + " is suspended for " + millis);
        router.freeze();
        world.after(Duration.ofMillis(millis), router::thaw);
    }

    private void leave(OrderingRouter router) {
        if (random.nextBoolean()) {
            world.tell(router.vm() + " resigns");
            router.resign();
            return;
        }
        int millis = random.nextInt(LONGEST_FREEZE_MILLIS);
        world.tell(router.vm() + " is partitioned from the store for " + millis);
        router.cut(true);
        world.after(Duration.ofMillis(millis), () -> router.cut(false));
    }
}
