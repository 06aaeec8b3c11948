package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.RouterReport;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

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

    @Test
    void whatUpstreamsHoldArrivesAsItWasSent() {
        Map<UpstreamId, HeldModels> sent =
                Map.of(ONE, new HeldModels(100, 3, Map.of("m", Set.of("a1", "a2"))));
        Frame frame = PeerRouterFrames.replicaNews(8, sent);
        assertEquals(sent, PeerRouterFrames.heldModels(frame.getReplicaNews()));
        assertEquals(8, frame.getReplicaNews().getFencing());
    }
}
