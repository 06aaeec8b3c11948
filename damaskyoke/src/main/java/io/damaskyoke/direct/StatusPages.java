package io.damaskyoke.direct;

import io.damaskyoke.http.HttpCall;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.metrics.Prometheus;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Serves the readiness and metrics pages of a router, and logs its counters. */
final class StatusPages {
    private static final Logger LOG = LogManager.getLogger(StatusPages.class);

    /** Gauges in the line of counters: how old the views of the store are, what is unreadable. */
    private static final Set<String> LOGGED_GAUGES =
            Set.of("store_view_age_ms", "store_full_read_age_ms", "store_entries_unreadable");

    private final Metrics metrics;
    private final BooleanSupplier isReady;

    StatusPages(Metrics metrics, BooleanSupplier isReady) {
        this.metrics = metrics;
        this.isReady = isReady;
    }

    void ready(HttpCall call) {
        boolean ready = isReady.getAsBoolean();
        text(call, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }

    void metrics(HttpCall call) {
        text(call, 200, Prometheus.text(metrics.registry()));
    }

    void logCounters() {
        StringBuilder line = new StringBuilder();
        metrics.registry()
                .getCounters()
                .forEach(
                        (name, counter) ->
                                line.append(' ')
                                        .append(name)
                                        .append('=')
                                        .append(counter.getCount()));
        metrics.registry()
                .getGauges((name, gauge) -> LOGGED_GAUGES.contains(name.split("\\{", 2)[0]))
                .forEach(
                        (name, gauge) ->
                                line.append(' ').append(name).append('=').append(gauge.getValue()));
        LOG.info("counters{}", line);
    }

    private static void text(HttpCall call, int status, String text) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Content-Type", "text/plain; charset=utf-8");
        call.answer(status, headers, Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }
}
