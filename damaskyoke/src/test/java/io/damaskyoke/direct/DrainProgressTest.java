package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DrainProgressTest {
    private static final Instant NOW = Instant.ofEpochSecond(100);

    private final UpstreamTable upstreams = new UpstreamTable();
    private final DrainProgress progress = new DrainProgress(upstreams);

    @Test
    void requestsAndModelsLeftInDrainedZonesAreCounted() {
        putUpstream("one", "a", "m", "n");
        putUpstream("two", "b", "n");
        upstreams
                .find(UpstreamId.of("one"))
                .ifPresent(each -> each.requestAssigned(ModelRef.parse("m"), NOW));
        assertEquals(0, progress.requestsInDrainedZones());
        assertEquals(0, progress.modelsOnlyInDrainedZones());
        upstreams.zones().drain("a", NOW);
        assertEquals(1, progress.requestsInDrainedZones());
        assertEquals(1, progress.modelsOnlyInDrainedZones());
    }

    private void putUpstream(String id, String zone, String... models) {
        Map<String, Set<String>> held = new HashMap<>();
        for (String model : models) {
            held.put(model, Set.of());
        }
        upstreams.put(
                new UpstreamFacts(
                        UpstreamId.of(id),
                        1,
                        "service",
                        new Endpoint("127.0.0.1", 1),
                        zone,
                        4,
                        false,
                        Duration.ZERO,
                        new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, held),
                        Set.of(),
                        Set.of()),
                NOW);
    }
}
