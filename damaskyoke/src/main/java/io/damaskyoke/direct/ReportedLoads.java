package io.damaskyoke.direct;

import com.codahale.metrics.Counter;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Takes the load that upstreams report with their answers. Traffic thread only. */
final class ReportedLoads {
    private static final long NEVER = -1;

    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final Counter invalidFigures;

    ReportedLoads(InstantSource clock, UpstreamTable upstreams, Metrics metrics) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.invalidFigures = metrics.counter("upstream_load_invalid");
        metrics.gauge("upstream_speed_age_ms", this::meanAgeMillis);
    }

    /** Takes the load that the answer reports, if any, and counts the figures that are invalid. */
    void answerReceived(Upstream upstream, UpstreamStatements statements) {
        if (statements.invalidLoadFigures() > 0) {
            invalidFigures.inc(statements.invalidLoadFigures());
        }
        statements.load().ifPresent(load -> upstream.loadReported(load, clock.instant()));
    }

    private long meanAgeMillis() {
        Instant now = clock.instant();
        return Math.round(
                upstreams.all().stream()
                        .flatMap(each -> each.relativeTimeAge(now).stream())
                        .mapToLong(Duration::toMillis)
                        .average()
                        .orElse(NEVER));
    }
}
