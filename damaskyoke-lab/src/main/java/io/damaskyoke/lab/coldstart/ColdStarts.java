package io.damaskyoke.lab.coldstart;

import io.damaskyoke.lab.Deployment;
import io.damaskyoke.lab.Experiment;
import io.damaskyoke.lab.Fault;
import java.util.ArrayList;
import java.util.List;

/**
 * How long first requests wait for their model, what idle replicas cost, and whether the limits
 * hold: ours, and routers that load where they like on engines that unload the least recently used.
 */
public final class ColdStarts implements Experiment {
    private static final String NAME = "coldstart";

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<Row> run(Deployment deployment, long seed, Fault fault) {
        Workload workload = new Workload(deployment, seed);
        List<Row> rows = new ArrayList<>();
        for (String policy : List.of("naive", "ours")) {
            boolean naive = policy.equals("naive");
            rows(policy, new ColdStartRun(deployment, workload, seed, fault, naive).run(), rows);
        }
        return rows;
    }

    private static void rows(String policy, ColdStartRun run, List<Row> rows) {
        for (int part : List.of(50, 95, 99)) {
            rows.add(row(policy, "cold start p" + part, "s", quantile(run.coldMillis, part)));
            String bound = "of it at full speed p" + part;
            rows.add(row(policy, bound, "s", quantile(run.boundMillis, part)));
        }
        rows.add(row(policy, "cold starts served", "count", run.coldMillis.size()));
        rows.add(row(policy, "refused", "count", run.refusals));
        rows.add(row(policy, "idle accelerators", "h", run.idleHours()));
        rows.add(row(policy, "replicas above decided", "count", Math.max(0, run.worstAbove)));
        double over = (double) Math.max(0, run.worstOvercommit) / Workload.GIB;
        rows.add(row(policy, "memory overcommitted", "GiB", over));
    }

    private static Row row(String policy, String figure, String unit, double value) {
        return new Row(NAME, policy, figure, unit, value);
    }

    private static double quantile(List<Double> millis, int part) {
        if (millis.isEmpty()) {
            return 0;
        }
        List<Double> sorted = millis.stream().sorted().toList();
        int index = (int) Math.ceil(sorted.size() * part / 100.0) - 1;
        return sorted.get(index) / 1_000;
    }
}
