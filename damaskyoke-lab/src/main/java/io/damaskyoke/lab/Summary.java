package io.damaskyoke.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Gathers rows over seeds and prints them as a table: median, least and greatest. */
final class Summary {
    private final Map<Key, List<Double>> values = new LinkedHashMap<>();

    void add(Experiment.Row row) {
        Key key = new Key(row.experiment(), row.figure(), row.unit(), row.policy());
        values.computeIfAbsent(key, unused -> new ArrayList<>()).add(row.value());
    }

    String table(Deployment where, Fault what, long seed, int seeds) {
        StringBuilder table =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "deployment %s, fault %s, seeds %d to %d%n",
                                where.label(),
                                what.label(),
                                seed,
                                seed + seeds - 1));
        table.append(
                String.format(
                        Locale.ROOT,
                        "%-12s %-34s %-14s %12s %12s %12s%n",
                        "experiment",
                        "figure",
                        "policy",
                        "median",
                        "least",
                        "greatest"));
        values.forEach((key, each) -> table.append(line(key, each)));
        return table.toString();
    }

    private static String line(Key key, List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                "%-12s %-34s %-14s %12.3f %12.3f %12.3f%n",
                key.experiment(),
                key.figure() + " (" + key.unit() + ")",
                key.policy(),
                sorted.get(sorted.size() / 2),
                sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    private record Key(String experiment, String figure, String unit, String policy) {}
}
