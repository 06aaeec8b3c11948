package io.damaskyoke.direct;

import java.time.Duration;
import java.util.Random;

/** Plays half a minute of faults between a leader and upstreams, drawn at random from a seed. */
final class OrderFaults {
    private static final int FAULTS = 8;
    private static final int LONGEST_PAUSE_MILLIS = 2_500;
    private static final int LONGEST_DOWN_MILLIS = 4_500;
    private static final int LONGEST_SUSPENSION_MILLIS = 6_000;

    private static final int LONGEST_ROUTER_DOWN_MILLIS = 3_500;
    private static final int KINDS = 8;
    private static final int KINDS_WITH_RESTARTS = 12;
    private static final int KINDS_WITH_CONFIGURATIONS = 15;

    private final OrderSimulation simulation;
    private final Random random;
    private final int kinds;

    OrderFaults(OrderSimulation simulation, long seed) {
        this(simulation, seed, KINDS);
    }

    private OrderFaults(OrderSimulation simulation, long seed, int kinds) {
        this.simulation = simulation;
        this.random = new Random(seed);
        this.kinds = kinds;
    }

    /** The same, with routers that are killed and start again. */
    static OrderFaults withRouterRestarts(OrderSimulation simulation, long seed) {
        return new OrderFaults(simulation, seed, KINDS_WITH_RESTARTS);
    }

    /** The same, with configurations that change the sizes of models. */
    static OrderFaults withConfigurations(OrderSimulation simulation, long seed) {
        return new OrderFaults(simulation, seed, KINDS_WITH_CONFIGURATIONS);
    }

    void play() {
        simulation.advance(Duration.ofSeconds(2));
        for (int each = 0; each < FAULTS; each++) {
            injectFault();
            simulation.advance(Duration.ofMillis(random.nextInt(LONGEST_PAUSE_MILLIS)));
        }
        simulation.delayOrders(0);
        simulation.loseAnswers(0);
        simulation.advance(Duration.ofSeconds(13));
    }

    private void injectFault() {
        SimulatedOrderRouter router =
                simulation.routers().get(random.nextInt(simulation.routers().size()));
        switch (random.nextInt(kinds)) {
            case 0, 1 -> simulation.delayOrders(random.nextDouble() * 0.7);
            case 2 -> simulation.loseAnswers(random.nextDouble() * 0.5);
            case 3, 4, 5 -> restart();
            case 6 -> suspend(router);
            case 7 -> resignOrPartition(router);
            case 8, 9 -> restart(router);
            case 10 -> simulation.routers().forEach(this::restart);
            case 11 -> restartUpstreamAndLeader();
            case 12, 13 -> simulation.resizeModels();
            default -> {
                simulation.resizeModels();
                simulation.routers().forEach(this::restart);
            }
        }
    }

    private void restart() {
        SimulatedEngine engine =
                simulation.engines().get(random.nextInt(simulation.engines().size()));
        simulation.restart(engine, Duration.ofMillis(1 + random.nextInt(LONGEST_DOWN_MILLIS)));
    }

    private void restart(SimulatedOrderRouter router) {
        simulation.restart(router, Duration.ofMillis(random.nextInt(LONGEST_ROUTER_DOWN_MILLIS)));
    }

    private void restartUpstreamAndLeader() {
        restart();
        simulation.routers().stream()
                .filter(SimulatedOrderRouter::isLeader)
                .findFirst()
                .ifPresent(this::restart);
    }

    private void suspend(SimulatedOrderRouter router) {
        int millis = random.nextInt(LONGEST_SUSPENSION_MILLIS);
        simulation.recordEvent(router.vm() + " is suspended for " + millis);
        router.suspend();
        simulation.after(Duration.ofMillis(millis), router::resume);
    }

    private void resignOrPartition(SimulatedOrderRouter router) {
        if (random.nextBoolean()) {
            simulation.recordEvent(router.vm() + " resigns");
            router.resign();
            return;
        }
        int millis = random.nextInt(LONGEST_SUSPENSION_MILLIS);
        simulation.recordEvent(router.vm() + " is partitioned from the store for " + millis);
        router.setPartitioned(true);
        simulation.after(Duration.ofMillis(millis), () -> router.setPartitioned(false));
    }
}
