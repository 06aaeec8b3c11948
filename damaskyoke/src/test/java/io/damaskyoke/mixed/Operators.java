package io.damaskyoke.mixed;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.configuration.SampleTickets;
import io.damaskyoke.control.configuration.Ticket;
import io.damaskyoke.control.configuration.TicketSubmission;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/** Operators who change one workspace's rate and two models' replicas, again and again. */
final class Operators {
    static final int BURST = 200;
    private static final int[] RATES = {60, 100, 140};

    private final MixedWorld world;
    private final Random random;
    private List<Model> models;
    private long number;
    private int unknown;

    Operators(MixedWorld world, long seed) {
        this.world = world;
        this.random = new Random(seed);
    }

    /** Sets all objects up by one ticket. */
    void begin(List<Model> all) {
        models = all;
        String objects =
                all.stream()
                        .map(model -> model(model, model.maxReplicas()))
                        .collect(Collectors.joining(","));
        submit(0, "\"workspaces\":[%s],\"models\":[%s]".formatted(workspace(100), objects));
    }

    /** Sends a ticket to a router. */
    void send(int router) {
        Model model = models.get(random.nextInt(models.size()));
        String change =
                random.nextBoolean()
                        ? "\"workspaces\":[" + workspace(RATES[random.nextInt(3)]) + "]"
                        : "\"models\":[" + model(model, 1 + random.nextInt(2)) + "]";
        submit(router, change);
    }

    /** How often an operator was told that the outcome isn't known. */
    int unknown() {
        return unknown;
    }

    private void submit(int router, String changes) {
        Ticket ticket = SampleTickets.ticket("{\"number\":" + ++number + "," + changes + "}");
        world.routers().get(router).log.submit(ticket, outcome -> told(ticket, outcome));
    }

    private void told(Ticket ticket, TicketSubmission.Action outcome) {
        world.log().outcome(ticket, outcome);
        if (outcome instanceof TicketSubmission.Action.ReportRefused no && !no.outcomeKnown()) {
            unknown++;
        }
    }

    private static String workspace(int rate) {
        return "{\"id\":\"%s\",\"rate\":%d,\"burst\":%d}"
                .formatted(MixedWorld.WORKSPACE, rate, BURST);
    }

    private static String model(Model model, int replicas) {
        String base = model.base().map(name -> ",\"base\":\"" + name + "\"").orElse("");
        return ("{\"name\":\"%s\",\"version\":\"%s\",\"pool\":\"%s\",\"memory_bytes\":%d,"
                        + "\"max_replicas\":%d%s}")
                .formatted(
                        model.name(),
                        model.version(),
                        model.pool(),
                        model.memoryBytes(),
                        replicas,
                        base);
    }
}
