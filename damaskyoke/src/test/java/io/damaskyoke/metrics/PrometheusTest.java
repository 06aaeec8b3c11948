package io.damaskyoke.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.SlidingWindowReservoir;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class PrometheusTest {
    @Test
    void everyKindOfMetricIsPrinted() {
        Metrics metrics = new Metrics();
        metrics.count("refused", "code", "rate_exceeded");
        metrics.count("refused", "code", "odd \"name\" with \\ and\nline");
        metrics.count("refused_late");
        metrics.count("answers_total");
        metrics.gauge("waiting", () -> 3);
        metrics.gauge("load.per-core", () -> 0.25);
        metrics.gauge("endless", () -> Double.POSITIVE_INFINITY);
        metrics.gauge(
                "broken",
                () -> {
                    throw new IllegalStateException("not now");
                });
        addHundred(metrics, "cold_start_ms");
        addHundred(metrics, "wait_ms{pool=\"engines\"}");
        Approvals.verify(Prometheus.text(metrics.registry()));
    }

    /** The default reservoir weighs by the wall clock; this one gives the same quantiles always. */
    private static void addHundred(Metrics metrics, String name) {
        Histogram histogram = new Histogram(new SlidingWindowReservoir(100));
        metrics.registry().register(name, histogram);
        for (int millis = 1; millis <= 100; millis++) {
            histogram.update(millis);
        }
    }
}
