package io.damaskyoke.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Prints a registry in Prometheus' text form 0.0.4: {@code Prometheus.text(metrics.registry())}.
 *
 * <p>Counters end in {@code _total}. Histograms become summaries with quantiles and a count; they
 * have no sum, as Dropwizard keeps none. A gauge that fails or isn't a number reads {@code NaN}.
 */
public final class Prometheus {
    /** The media type of the text. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String PREFIX = "damaskyoke_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};

    private final Map<String, Family> families = new TreeMap<>();

    private Prometheus() {}

    /** The whole registry, one family after the other by name. */
    public static String text(MetricRegistry registry) {
        Prometheus prometheus = new Prometheus();
        new TreeMap<>(registry.getMetrics()).forEach(prometheus::add);
        return prometheus.print();
    }

    /** Samples that share a name and a TYPE line. */
    private record Family(String type, List<String> samples) {}

    private void add(String registered, Metric metric) {
        Series series = Series.parse(registered);
        String name = PREFIX + series.name();
        if (metric instanceof Counter counter) {
            String total = name.endsWith("_total") ? name : name + "_total";
            family(total, "counter").add(total + series.braces() + " " + counter.getCount());
        } else if (metric instanceof Gauge<?> gauge) {
            family(name, "gauge").add(name + series.braces() + " " + value(gauge));
        } else if (metric instanceof Histogram histogram) {
            addSummary(name, series, histogram);
        }
    }

    private void addSummary(String name, Series series, Histogram histogram) {
        List<String> samples = family(name, "summary");
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            String braces = series.braces("quantile=\"" + quantile + "\"");
            samples.add(name + braces + " " + number(snapshot.getValue(quantile)));
        }
        samples.add(name + "_count" + series.braces() + " " + histogram.getCount());
    }

    private List<String> family(String name, String type) {
        return families.computeIfAbsent(name, key -> new Family(type, new ArrayList<>())).samples();
    }

    private String print() {
        StringBuilder text = new StringBuilder();
        families.forEach(
                (name, family) -> {
                    text.append("# TYPE " + name + " " + family.type() + "\n");
                    family.samples().forEach(sample -> text.append(sample).append('\n'));
                });
        return text.toString();
    }

    /** A gauge reads other parts' state; one that throws must not take all the others with it. */
    private static String value(Gauge<?> gauge) {
        try {
            return gauge.getValue() instanceof Number value ? number(value.doubleValue()) : "NaN";
        } catch (RuntimeException e) {
            return "NaN";
        }
    }

    private static String number(double value) {
        if (Double.isInfinite(value)) {
            return value > 0 ? "+Inf" : "-Inf";
        }
        boolean whole = value == Math.rint(value) && Math.abs(value) < 1L << 53;
        return whole ? Long.toString((long) value) : Double.toString(value);
    }
}
