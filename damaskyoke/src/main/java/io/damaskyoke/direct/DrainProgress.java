package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.metrics.Metrics;
import java.util.HashSet;
import java.util.Set;

/**
 * Measures what is left in drained zones, as this router sees it, so that operators can tell from
 * the metrics when a zone is empty. Traffic thread only.
 */
final class DrainProgress {
    private final UpstreamTable upstreams;

    DrainProgress(UpstreamTable upstreams) {
        this.upstreams = upstreams;
    }

    /** Registers the gauges; their values are computed when they are read. */
    void registerGauges(Metrics metrics) {
        metrics.gauge("zones_drained", () -> (long) upstreams.zones().all().size());
        metrics.gauge("requests_in_drained_zones", this::requestsInDrainedZones);
        metrics.gauge("models_only_in_drained_zones", this::modelsOnlyInDrainedZones);
    }

    /** Returns the number of this router's requests that still run in drained zones. */
    long requestsInDrainedZones() {
        return upstreams.all().stream()
                .filter(Upstream::isZoneDrained)
                .mapToLong(Upstream::inFlight)
                .sum();
    }

    /** Returns the number of models held only by upstreams that drain or are in drained zones. */
    long modelsOnlyInDrainedZones() {
        Set<String> inDrainedZones = new HashSet<>();
        Set<String> elsewhere = new HashSet<>();
        for (Upstream upstream : upstreams.all()) {
            boolean drains = upstream.isZoneDrained() || upstream.isLeaving();
            (drains ? inDrainedZones : elsewhere).addAll(upstream.held().adapters().keySet());
        }
        inDrainedZones.removeAll(elsewhere);
        return inDrainedZones.size();
    }
}
