package io.damaskyoke.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;

/**
 * The counters, gauges and histograms of a process.
 *
 * <p>Names are lower case with underscores; a label goes in braces, as Prometheus prints it: {@code
 * metrics.count("refused", "code", "rate_exceeded")}.
 */
public final class Metrics {
    private final MetricRegistry registry = new MetricRegistry();

    /** Adds one to a counter. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Adds one to a counter that has a label. */
    public void count(String name, String label, String value) {
        count(name, label, value, 1);
    }

    /** Adds so many to a counter that has a label. */
    public void count(String name, String label, String value, long many) {
        registry.counter(labelled(name, label, value)).inc(many);
    }

    /** The counter itself, for hot paths. */
    public Counter counter(String name) {
        return registry.counter(name);
    }

    /** A histogram, usually of milliseconds. */
    public Histogram histogram(String name) {
        return registry.histogram(name);
    }

    /** A histogram that has a label. */
    public Histogram histogram(String name, String label, String value) {
        return registry.histogram(labelled(name, label, value));
    }

    /** A value that is read when somebody asks. */
    public void gauge(String name, Supplier<? extends Number> value) {
        registry.gauge(name, () -> (Gauge<Number>) value::get);
    }

    /** A value that has a label and is read when somebody asks. */
    public void gauge(
            String name, String label, String labelled, Supplier<? extends Number> value) {
        gauge(labelled(name, label, labelled), value);
    }

    /** All of them, for the exporter. */
    public MetricRegistry registry() {
        return registry;
    }

    private static String labelled(String name, String label, String value) {
        return name + "{" + label + "=\"" + value + "\"}";
    }
}
