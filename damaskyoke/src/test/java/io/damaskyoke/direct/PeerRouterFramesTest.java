package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.wire.DrainedZone;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.ModelDemand;
import io.damaskyoke.peer.wire.RouterReport;
import io.damaskyoke.peer.wire.UpstreamLimit;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerRouterFramesTest {
    private static final VmId SENDER = VmId.of("router-1");
    private static final UpstreamId ONE = UpstreamId.of("i-1");
    private static final UpstreamId TWO = UpstreamId.of("i-2");

    @Test
    void departuresArriveAsTheyWereSent() {
        List<UpstreamDeparture> sent =
                List.of(new UpstreamDeparture(ONE, 7, true), new UpstreamDeparture(TWO, 9, false));
        Frame frame = PeerRouterFrames.departures(sent);
        assertEquals(sent, PeerRouterFrames.departures(frame.getDepartures()));
    }

    @Test
    void aReportArrivesAsItWasSent() {
        ModelRef model = new ModelRef("m", "a1");
        LoadInput.DemandReported sent =
                new LoadInput.DemandReported(
                        SENDER,
                        List.of(
                                new LoadInput.ModelDemand(
                                        model, 3, Duration.ofMillis(40), 1, 2.5, 2)),
                        Map.of(ONE, Map.of(model, 4)),
                        Set.of(TWO));
        Instant now = Instant.ofEpochSecond(100);
        Map<String, Instant> drained = Map.of("a", now.minusMillis(800), "b", Instant.MIN);
        RouterStatus status =
                new RouterStatus(
                        11,
                        12,
                        new RouterStatus.DrainStatus(13, drained),
                        true,
                        Duration.ofMillis(7));
        RouterReport report = PeerRouterFrames.report(5, sent, status, now).getRouterReport();
        assertEquals(sent, PeerRouterFrames.demandReported(SENDER, report));
        assertEquals(status, PeerRouterFrames.status(report, now));
    }

    // Guards against a figure of another router whose time overflows and ends the handling.
    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE, -1, 0, Integer.MAX_VALUE, Long.MAX_VALUE - 1})
    void oddFiguresOfAnotherRouterOverflowNothing(long figure) {
        Instant now = Instant.parse("2026-12-01T00:00:00Z");
        RouterReport report =
                RouterReport.newBuilder()
                        .setNumber(figure)
                        .setUpstreamsRevision(figure)
                        .setLateMs((int) figure)
                        .addDrainedZones(
                                DrainedZone.newBuilder().setZone("a").setAskedMsAgo(figure))
                        .addDemand(
                                ModelDemand.newBuilder()
                                        .setWaiting((int) figure)
                                        .setOldestMs((int) figure)
                                        .setPerSecond(Double.NaN))
                        .build();
        assertEquals(1, PeerRouterFrames.status(report, now).drains().notBefore().size());
        assertEquals(1, PeerRouterFrames.demandReported(SENDER, report).demands().size());
        UpstreamLimit limit =
                UpstreamLimit.newBuilder()
                        .setUpstream("i-1")
                        .setNamed(true)
                        .setPerSecond(figure * 1e300)
                        .setAgeMs((int) figure)
                        .build();
        assertFalse(PeerRouterFrames.limit(limit).limit().perSecond() < 0);
    }

    @Test
    void whatUpstreamsHoldArrivesAsItWasSent() {
        Map<UpstreamId, HeldModels> sent =
                Map.of(ONE, new HeldModels(100, 3, Map.of("m", Set.of("a1", "a2"))));
        Frame frame = PeerRouterFrames.replicaNews(8, sent);
        assertEquals(sent, PeerRouterFrames.heldModels(frame.getReplicaNews()));
        assertEquals(8, frame.getReplicaNews().getFencing());
    }
}
