package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.direct.AllowedRegions;
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

/** Tests the routing of requests with allowed regions, among upstreams in three regions. */
class AllowedRegionsDispatchTest {
    private static final Map<String, String> REGIONS =
            Map.of("kochi-a", "kerala", "goa-a", "goa", "jatim-a", "java");
    private static final int SLOTS = 4;

    private final Instant now = Instant.ofEpochSecond(100);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final UpstreamDispatcher dispatcher =
            new UpstreamDispatcher(
                    upstreams,
                    "kochi-a",
                    REGIONS,
                    () -> now,
                    Runnable::run,
                    (upstream, all) -> (int) all);
    private final List<String> outcomes = new ArrayList<>();

    // Guards against a request that is served outside its allowed regions because that is nearest.
    @Test
    void aRequestIsServedInItsAllowedRegionsThoughOthersAreNearer() {
        addUpstream("near", "kochi-a");
        addUpstream("far", "jatim-a");
        enqueue(AllowedRegions.of(List.of("java")));
        enqueue(AllowedRegions.ANYWHERE);
        assertEquals(List.of("to far", "to near"), outcomes);
    }

    // Guards against a request that waits until its deadline for an upstream that cannot appear.
    @Test
    void aRequestIsRefusedAtOnceIfItsRegionsHaveNoUpstream() {
        addUpstream("near", "kochi-a");
        addUpstream("nowhere", "a zone without a region");
        enqueue(AllowedRegions.of(List.of("java")));
        enqueue(AllowedRegions.of(List.of("kerala")).intersect(AllowedRegions.of(List.of("goa"))));
        assertEquals(List.of("no upstream", "no upstream"), outcomes);
    }

    // Guards against requests that wait behind one whose allowed regions have no capacity.
    @Test
    void requestsWithDifferentRegionsDoNotBlockEachOther() {
        addUpstream("far", "jatim-a");
        addUpstream("near", "kochi-a");
        for (int each = 0; each < SLOTS * 2; each++) {
            enqueue(AllowedRegions.of(List.of("java")));
        }
        int sent = outcomes.size();
        enqueue(AllowedRegions.of(List.of("kerala")));
        assertEquals("to near", outcomes.get(sent));
    }

    private void enqueue(AllowedRegions allowedRegions) {
        dispatcher.enqueue(new RecordingRequest(now, allowedRegions, outcomes));
    }

    private void addUpstream(String id, String zone) {
        upstreams.put(
                new UpstreamFacts(
                        UpstreamId.of(id),
                        1,
                        RecordingRequest.SERVICE,
                        new Endpoint("127.0.0.1", 1),
                        zone,
                        SLOTS,
                        false,
                        Duration.ZERO,
                        new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of()),
                now);
    }
}
