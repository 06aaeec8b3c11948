package io.damaskyoke.lab;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * How long a ticket takes from its acceptance to the last process, and what that costs: by relays,
 * by a watch of every process, by polling, and by gossip to random peers. Once at the deployment's
 * size and once at the size to design for.
 */
final class ConfigurationExperiment implements Experiment {
    private static final int DESIGN_PROCESSES = 380 + 2_400;
    private static final int DESIGN_ZONES = 15;
    private static final int TICKETS = 6;
    private static final Duration BETWEEN = Duration.ofSeconds(20);
    private static final int POLL_MILLIS = 5_000;
    private static final double TICKETS_PER_SECOND = 4_200 / 86_400.0;
    private static final int GOSSIP_PEERS = 4;
    private static final int GOSSIP_ROUND_MILLIS = 1_000;
    private static final double HEARTBEATS_PER_SECOND = 0.5;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public List<Row> run(Deployment deployment, long seed, Fault fault) {
        List<Row> rows = new ArrayList<>();
        int today = Deployment.ROUTERS + deployment.workers() + 3;
        run(rows, "today", today, Deployment.ZONES, seed, fault);
        run(rows, "design", DESIGN_PROCESSES, DESIGN_ZONES, seed, fault);
        return rows;
    }

    private void run(List<Row> rows, String size, int count, int zones, long seed, Fault fault) {
        relays(rows, size, new SpreadWorld(count, zones, seed), fault);
        watches(rows, size, count, seed);
        polling(rows, size, count, seed);
        gossip(rows, size, count, seed);
    }

    private void relays(List<Row> rows, String size, SpreadWorld world, Fault fault) {
        world.advance(Duration.ofSeconds(30));
        SpreadWorld.Process first = world.relays().get(0);
        if (fault == Fault.ROUTERS_LOST) {
            world.freeze(first);
        }
        long calls = world.storeCalls();
        long[] bytes = world.processes().stream().mapToLong(it -> it.bytes()).toArray();
        double worst = 0;
        double oldest = 0;
        for (int i = 0; i < TICKETS; i++) {
            Instant at = world.now();
            boolean out = fault == Fault.STORE_OUT && i >= TICKETS / 3 && i < 2 * TICKETS / 3;
            world.storeOut(out);
            if (!out) {
                world.accept();
            }
            world.advance(BETWEEN);
            if (!out) {
                worst = Math.max(worst, spread(world, at, first, fault));
            }
            oldest = Math.max(oldest, oldestConfirmation(world, first, fault));
        }
        double seconds = TICKETS * BETWEEN.toSeconds();
        add(rows, "relays", size + " oldest confirmation", "ms", oldest);
        add(rows, "relays", size + " last process", "ms", worst);
        add(rows, "relays", size + " watches", "count", world.relays().size());
        add(rows, "relays", size + " store reads", "1/s", (world.storeCalls() - calls) / seconds);
        double most = 0;
        double sum = 0;
        for (int i = 0; i < bytes.length; i++) {
            SpreadWorld.Process process = world.processes().get(i);
            double rate = (process.bytes() - bytes[i]) / seconds + heartbeats(process.links());
            most = Math.max(most, rate);
            sum += rate;
        }
        add(rows, "relays", size + " bytes a node, mean", "B/s", sum / bytes.length);
        add(rows, "relays", size + " bytes a node, most", "B/s", most);
    }

    private static double oldestConfirmation(
            SpreadWorld world, SpreadWorld.Process frozen, Fault fault) {
        return world.processes().stream()
                .filter(process -> fault != Fault.ROUTERS_LOST || process != frozen)
                .mapToDouble(
                        process ->
                                process.confirmed()
                                        .map(at -> Duration.between(at, world.now()).toMillis())
                                        .map(Long::doubleValue)
                                        .orElse(Double.POSITIVE_INFINITY))
                .max()
                .orElse(0);
    }

    private static double spread(
            SpreadWorld world, Instant at, SpreadWorld.Process frozen, Fault fault) {
        Instant last = at;
        for (SpreadWorld.Process process : world.processes()) {
            boolean counts = fault != Fault.ROUTERS_LOST || process != frozen;
            if (counts && process.sequence() < world.head()) {
                return Double.POSITIVE_INFINITY;
            }
            if (counts && process.reachedAt().isAfter(last)) {
                last = process.reachedAt();
            }
        }
        return Duration.between(at, last).toNanos() / 1e6;
    }

    /** Every process watches, and confirms by a reading every two seconds at most. */
    private void watches(List<Row> rows, String size, int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double worst = 0;
        for (int i = 0; i < count * TICKETS; i++) {
            worst = Math.max(worst, 0.5 + random.nextDouble() * 2.5);
        }
        add(rows, "watch-by-all", size + " last process", "ms", worst);
        add(rows, "watch-by-all", size + " watches", "count", count);
        add(rows, "watch-by-all", size + " store reads", "1/s", count / 1.5);
    }

    /** Every process reads once in five seconds, half of that at least. */
    private void polling(List<Row> rows, String size, int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double worst = 0;
        for (int i = 0; i < count * TICKETS; i++) {
            double pause = POLL_MILLIS / 2.0 * (1 + random.nextDouble());
            worst = Math.max(worst, pause * random.nextDouble());
        }
        add(rows, "polling", size + " last process", "ms", worst);
        add(rows, "polling", size + " watches", "count", 0);
        add(rows, "polling", size + " store reads", "1/s", count / (0.75 * POLL_MILLIS / 1_000));
    }

    /** Two processes of each zone read the store; news goes to random peers, round by round. */
    private void gossip(List<Row> rows, String size, int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double worst = 0;
        long frames = 0;
        for (int ticket = 0; ticket < TICKETS; ticket++) {
            double[] knows = new double[count];
            Arrays.fill(knows, Double.POSITIVE_INFINITY);
            knows[0] = 3;
            int left = count - 1;
            double now = 3;
            while (left > 0) {
                for (int from = 0; from < count; from++) {
                    if (knows[from] <= now) {
                        for (int peer = 0; peer < GOSSIP_PEERS; peer++) {
                            int to = random.nextInt(count);
                            frames++;
                            if (knows[to] == Double.POSITIVE_INFINITY) {
                                knows[to] = now + GOSSIP_ROUND_MILLIS * random.nextDouble();
                                left--;
                            }
                        }
                    }
                }
                now += GOSSIP_ROUND_MILLIS;
            }
            for (double at : knows) {
                worst = Math.max(worst, at);
            }
        }
        double digests =
                2.0
                        * GOSSIP_PEERS
                        * (SpreadWorld.ANSWER_BYTES + SpreadWorld.FRAME_BYTES)
                        * 1_000
                        / GOSSIP_ROUND_MILLIS;
        double news =
                2.0
                        * frames
                        / TICKETS
                        / count
                        * TICKETS_PER_SECOND
                        * (SpreadWorld.ENTRY_BYTES + SpreadWorld.FRAME_BYTES);
        add(rows, "gossip", size + " last process", "ms", worst);
        add(rows, "gossip", size + " bytes a node, mean", "B/s", digests + news);
        add(
                rows,
                "gossip",
                size + " connections opened",
                "1/s",
                (double) count * GOSSIP_PEERS * 1_000 / GOSSIP_ROUND_MILLIS);
    }

    private static double heartbeats(int links) {
        int size = SpreadWorld.HEARTBEAT_BYTES + SpreadWorld.FRAME_BYTES;
        return 2.0 * HEARTBEATS_PER_SECOND * size * links;
    }

    private void add(List<Row> rows, String policy, String figure, String unit, double value) {
        rows.add(new Row(name(), policy, figure, unit, value));
    }
}
