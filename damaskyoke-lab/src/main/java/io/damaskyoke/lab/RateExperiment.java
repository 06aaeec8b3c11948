package io.damaskyoke.lab;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * Rates over three routers: each workspace's requests come mostly at one router, and that one
 * changes every minute; one workspace sends four times its rate. A request counts as wrongly
 * refused if the policy had let the workspace spend so little that the request stayed within rate
 * and burst.
 */
final class RateExperiment implements Experiment {
    private static final double RATE = 2_000;
    private static final double BURST = 4_000;
    private static final double USUAL_LOAD = 0.8;
    private static final double GREEDY_LOAD = 4.0;
    private static final double HOT = 0.8;
    private static final int MEAN_TOKENS = 300;

    @Override
    public String name() {
        return "rates";
    }

    @Override
    public List<Row> run(Deployment deployment, long seed, Fault fault) {
        List<Row> rows = new ArrayList<>();
        for (int policy = 0; policy < 3; policy++) {
            rows.addAll(new Run(deployment, seed, fault, policy).rows());
        }
        return rows;
    }

    private static final class Run {
        private final Map<ExchangeId, Consumer<Boolean>> waiting = new HashMap<>();
        private final Map<WorkspaceId, Workspace> workspaces = new TreeMap<>();
        private final Map<WorkspaceId, Tally> tallies = new TreeMap<>();
        private final String[] names = {"router-0", "router-1", "router-2"};
        private final Set<Integer> alive = new TreeSet<>(Set.of(0, 1, 2));
        private final Random random;
        private final RateWorld world;
        private final RatePolicy policy;
        private final Duration length;
        private final Fault fault;
        private Instant end;

        Run(Deployment deployment, long seed, Fault fault, int number) {
            this.random = new Random(seed);
            this.length = deployment.length();
            this.fault = fault;
            for (int i = 0; i < deployment.workspaces(); i++) {
                WorkspaceId id = WorkspaceId.of("workspace-" + i);
                workspaces.put(id, new Workspace(id, RATE, BURST, 1));
                tallies.put(id, new Tally());
            }
            this.world = new RateWorld(seed, workspaces, (id, admitted) -> verdict(id, admitted));
            this.policy =
                    switch (number) {
                        case 0 -> new RatePolicy.EvenSplit(world);
                        case 1 -> new RatePolicy.Owner(world);
                        default -> new RatePolicy.Shares(world, waiting, names);
                    };
            if (number == 2) {
                for (String name : names) {
                    world.start(name);
                }
            }
        }

        List<Row> rows() {
            world.run(Duration.ofSeconds(10));
            end = world.now().plus(length);
            List<WorkspaceId> ids = List.copyOf(workspaces.keySet());
            ids.forEach(id -> next(id, id.equals(ids.get(0)) ? GREEDY_LOAD : USUAL_LOAD));
            world.after(length.dividedBy(3), this::begin);
            world.after(length.dividedBy(2), this::half);
            world.after(length.multipliedBy(2).dividedBy(3), this::over);
            second();
            world.run(length);
            return List.of(
                    row("refused, worst within its rate", "%", worst(1, Tally::refused)),
                    row("wrongful refusals, worst", "%", worst(1, Tally::wrongful)),
                    row("wrongful refusals, greedy one", "%", worst(0, Tally::wrongful)),
                    row("unserved of entitled, worst", "%", worst(0, Tally::unserved)),
                    row("excess over rate*time+burst", "% of burst", worst(0, Tally::excess)),
                    row("store calls", "1/s", policy.calls() / (double) length.toSeconds()));
        }

        private Row row(String figure, String unit, double value) {
            return new Row("rates", policy.name(), figure, unit, value);
        }

        /** The worst of the workspaces; {@code skip} leaves out the greedy one, the first. */
        private double worst(int skip, ToDoubleFunction<Tally> figure) {
            return tallies.values().stream().skip(skip).mapToDouble(figure).max().orElse(0);
        }

        private void verdict(ExchangeId id, boolean admitted) {
            Consumer<Boolean> consumer = waiting.remove(id);
            if (consumer != null) {
                consumer.accept(admitted);
            }
        }

        private void second() {
            policy.world(alive, !(fault == Fault.STORE_OUT && faulty()));
            world.after(Duration.ofSeconds(1), this::second);
        }

        private boolean faulty() {
            Duration left = Duration.between(world.now(), end);
            return left.compareTo(length.dividedBy(3)) > 0
                    && left.compareTo(length.multipliedBy(2).dividedBy(3)) <= 0;
        }

        private void begin() {
            if (fault == Fault.ROUTERS_LOST) {
                alive.removeAll(Set.of(1, 2));
                if (policy instanceof RatePolicy.Shares) {
                    world.kill(names[1]);
                    world.freeze(names[2]);
                    world.after(
                            Duration.ofSeconds(5), () -> world.listed.remove(VmId.of(names[1])));
                }
            }
        }

        private void half() {
            if (fault == Fault.ROUTERS_LOST) {
                alive.add(2);
                if (policy instanceof RatePolicy.Shares) {
                    world.thaw(names[2]);
                }
            }
        }

        private void over() {
            if (fault == Fault.ROUTERS_LOST) {
                alive.add(1);
                if (policy instanceof RatePolicy.Shares) {
                    names[1] = "router-3";
                    world.start(names[1]);
                }
            }
        }

        private void next(WorkspaceId id, double load) {
            double mean = MEAN_TOKENS / (RATE * load);
            long nanos = (long) (-Math.log(1 - random.nextDouble()) * mean * 1e9);
            world.after(
                    Duration.ofNanos(nanos),
                    () -> {
                        arrive(id);
                        next(id, load);
                    });
        }

        private void arrive(WorkspaceId id) {
            long minute = world.now().getEpochSecond() / 60;
            int hot = (int) ((minute + id.value().hashCode()) % 3 + 3) % 3;
            int wanted = random.nextDouble() < HOT ? hot : random.nextInt(3);
            long tokens = 1 + random.nextInt(2 * MEAN_TOKENS);
            long used = 1 + random.nextInt((int) tokens);
            long lasts = 200 + random.nextInt(2_000);
            int router = alive.contains(wanted) ? wanted : List.copyOf(alive).get(0);
            Tally tally = tallies.get(id);
            boolean entitled = tally.ideal.fits(tokens, BURST, world.now());
            if (entitled) {
                tally.ideal.spent(tokens, world.now());
                tally.entitled += tokens;
                world.after(
                        Duration.ofMillis(lasts),
                        () -> tally.ideal.spent(used - tokens, world.now()));
            }
            tally.requests++;
            policy.arrive(
                    router,
                    id,
                    tokens,
                    admitted -> decided(id, tally, router, tokens, used, lasts, admitted));
        }

        private void decided(
                WorkspaceId id,
                Tally tally,
                int router,
                long tokens,
                long used,
                long lasts,
                boolean admitted) {
            if (!admitted) {
                tally.refused++;
                tally.wronged += tally.real.fits(tokens, BURST, world.now()) ? 1 : 0;
                return;
            }
            tally.real.spent(tokens, world.now());
            tally.served += tokens;
            world.after(
                    Duration.ofMillis(lasts),
                    () -> {
                        tally.real.spent(used - tokens, world.now());
                        policy.refund(router, id, tokens - used);
                    });
        }
    }

    private static final class Tally {
        private final SpendLog ideal = new SpendLog(RATE);
        private final SpendLog real = new SpendLog(RATE);
        private double entitled;
        private double served;
        private int requests;
        private int wronged;
        private int refused;

        double refused() {
            return 100.0 * refused / requests;
        }

        double wrongful() {
            return 100.0 * wronged / requests;
        }

        double unserved() {
            return Math.max(0, 100.0 * (entitled - served) / entitled);
        }

        double excess() {
            return Math.max(0, 100.0 * (real.mostBeyondRate() - BURST) / BURST);
        }
    }
}
