package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.metrics.Metrics;
import java.util.HashSet;
import java.util.Set;

/**
 * How far drained zones are left, as this router sees it: who drains a zone looks here whether it
 * is empty. Belongs to the traffic thread.
 */
final class DrainProgress {
    private final UpstreamTable upstreams;

    DrainProgress(UpstreamTable upstreams) {
        this.upstreams = upstreams;
    }

    /** Shows the figures with the others; they are worked out when somebody asks. */
    void show(Metrics metrics) {
        metrics.gauge("zones_drained", () -> (long) upstreams.zones().all().size());
        metrics.gauge("requests_in_drained_zones", this::requestsThere);
        metrics.gauge("models_only_in_drained_zones", this::modelsOnlyThere);
    }

    /** This router's requests that still run in drained zones. */
    long requestsThere() {
        return upstreams.all().stream()
                .filter(Upstream::isZoneDrained)
                .mapToLong(Upstream::inFlight)
                .sum();
    }

    /** Models that no upstream outside drained zones holds. */
    long modelsOnlyThere() {
        Set<String> there = new HashSet<>();
        Set<String> elsewhere = new HashSet<>();
        for (Upstream upstream : upstreams.all()) {
            boolean leaves = upstream.isZoneDrained() || upstream.facts().draining();
            (leaves ? there : elsewhere).addAll(upstream.held().adapters().keySet());
        }
        there.removeAll(elsewhere);
        return there.size();
    }
}
