package io.damaskyoke.lab.coldstart;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.lab.Deployment;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * The requests of one run, the same for each policy: a skewed few busy models, most idle, 13% of
 * them waking or falling idle within an hour, each waking with a burst at every router.
 */
final class Workload {
    static final PoolName POOL = PoolName.of("engines");
    static final long GIB = 1L << 30;
    private static final double BUSY_PART = 0.25;
    private static final double CHANGING_PER_HOUR = 0.13;
    private static final int BURST = 12;

    final Map<ModelName, Model> models = new TreeMap<>();
    final List<Arrival> arrivals = new ArrayList<>();
    private final Random random;
    private final long length;

    /** One request; times in milliseconds. */
    record Arrival(long at, ModelName model, int router, long deadline, long runs) {}

    Workload(Deployment deployment, long seed) {
        this.random = new Random(seed);
        this.length = deployment.length().toMillis();
        makeModels(deployment);
        List<ModelName> names = new ArrayList<>(models.keySet());
        Collections.shuffle(names, random);
        int busy = (int) (names.size() * BUSY_PART);
        for (int i = 0; i < busy; i++) {
            Duration gap = Duration.ofMillis((long) (2_000 * Math.pow(i + 1, 1.1)));
            requests(names.get(i), 0, until(), gap);
        }
        double hours = length / 3_600_000.0;
        int waking = (int) Math.round(names.size() * CHANGING_PER_HOUR * hours);
        for (int i = 0; i < waking; i++) {
            wake(names.get(busy + i));
        }
        for (int i = busy + waking; i < names.size(); i++) {
            if (random.nextInt(3) == 0) {
                add(names.get(i), (long) (random.nextDouble() * length));
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::at));
    }

    private long until() {
        return random.nextDouble() < CHANGING_PER_HOUR / 2 ? random.nextLong(length) : length;
    }

    private void wake(ModelName model) {
        long at = (long) (random.nextDouble() * length);
        for (int i = 0; i < BURST; i++) {
            add(model, at + random.nextInt(1_000));
        }
        requests(model, at, length, Duration.ofSeconds(20 + random.nextInt(100)));
    }

    private void requests(ModelName model, long from, long to, Duration gap) {
        double at = from;
        while (true) {
            at -= Math.log(1 - random.nextDouble()) * gap.toMillis();
            if (at >= to) {
                return;
            }
            add(model, (long) at);
        }
    }

    private void add(ModelName model, long at) {
        long deadline = at + 30_000 + random.nextInt(30_000);
        long runs = 500 + random.nextInt(4_000);
        arrivals.add(new Arrival(at, model, random.nextInt(Deployment.ROUTERS), deadline, runs));
    }

    private void makeModels(Deployment deployment) {
        for (int i = 0; i < deployment.models(); i++) {
            long bytes = (long) ((8 + 32 * random.nextDouble()) * GIB);
            model(String.format("m-%03d", i), Optional.empty(), bytes);
        }
        for (int i = 0; i < deployment.adapters(); i++) {
            String base = String.format("m-%03d", random.nextInt(deployment.models()));
            long bytes = (long) ((0.1 + 0.4 * random.nextDouble()) * GIB);
            model(String.format("a-%03d", i), Optional.of(ModelName.of(base)), bytes);
        }
    }

    private void model(String name, Optional<ModelName> base, long bytes) {
        ModelName id = ModelName.of(name);
        models.put(id, new Model(id, "v1", POOL, base, bytes, 2, Set.of()));
    }
}
