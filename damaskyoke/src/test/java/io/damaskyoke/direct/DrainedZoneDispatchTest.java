package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.DrainedZones;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which upstreams receive requests while operators drain a zone. */
class DrainedZoneDispatchTest {
    private final UpstreamTable upstreams =
            new UpstreamTable(new DrainedZones(Duration.ofSeconds(5)));
    private final Instant now = Instant.ofEpochSecond(100);
    private final UpstreamDispatcher dispatcher =
            new UpstreamDispatcher(
                    upstreams,
                    "a",
                    Map.of(),
                    () -> now,
                    Runnable::run,
                    (upstream, all) -> (int) all);
    private final List<String> outcomes = new ArrayList<>();

    @Test
    void aDrainedZoneIsAvoidedIfAnotherCanServe() {
        addUpstream("here", "a");
        addUpstream("there", "b");
        upstreams.zones().drain("a", now);
        dispatcher.enqueue(request());
        assertEquals(List.of("to there"), outcomes);
    }

    @Test
    void aDrainedZoneServesUntilItClosesIfNoOtherCan() {
        addUpstream("here", "a");
        addUpstream("closed", "b");
        upstreams.zones().drain("a", now);
        upstreams.zones().drain("b", Instant.MIN);
        dispatcher.enqueue(request());
        assertEquals(List.of("to here"), outcomes);
    }

    // Guards against requests that wait until their deadline although all zones are closed.
    @Test
    void aRequestIsRefusedAtOnceIfAllZonesAreClosed() {
        addUpstream("here", "a");
        addUpstream("there", "b");
        upstreams.zones().drain("a", Instant.MIN);
        upstreams.zones().drain("b", Instant.MIN);
        dispatcher.enqueue(request());
        assertEquals(List.of("no upstream"), outcomes);
    }

    // Guards against a queued request that waits until its deadline after the last zone has closed.
    @Test
    void aQueuedRequestIsRefusedWhenTheLastZoneCloses() {
        addUpstream("here", "a");
        for (int each = 0; each < 6; each++) {
            dispatcher.enqueue(request());
        }
        assertEquals(6, outcomes.size());
        dispatcher.enqueue(request());
        assertEquals(6, outcomes.size());
        upstreams.zones().drain("a", Instant.MIN);
        dispatcher.tick();
        assertEquals("no upstream", outcomes.get(6));
    }

    private RecordingRequest request() {
        return new RecordingRequest(now, AllowedRegions.ANYWHERE, outcomes);
    }

    private void addUpstream(String id, String zone) {
        upstreams.put(
                new UpstreamFacts(
                        UpstreamId.of(id),
                        1,
                        RecordingRequest.SERVICE,
                        new Endpoint("127.0.0.1", 1),
                        zone,
                        4,
                        false,
                        Duration.ZERO,
                        new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of()),
                now);
    }
}
