package io.damaskyoke.direct.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.peer.wire.Frame;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class CrashFramesTest {
    private static final CrashSuspect REQUEST = CrashSuspect.request("01");
    private static final CrashSuspect PART = CrashSuspect.promptPart("5c1e");

    @Test
    void theRunsAtACrashArriveAsTheyWereSent() {
        UpstreamCrash crash = new UpstreamCrash(UpstreamId.of("i-1"), 7);
        List<CrashedRun> runs =
                List.of(
                        new CrashedRun(
                                new RequestIdentity(REQUEST, List.of(PART)), Duration.ofMillis(80)),
                        new CrashedRun(RequestIdentity.of(REQUEST), Duration.ofMillis(5)));
        Frame frame = CrashFrames.upstreamCrash(crash, Duration.ofMillis(30), runs);
        assertEquals(crash, CrashFrames.crash(frame.getUpstreamEnded()));
        assertEquals(runs, CrashFrames.crashedRuns(frame.getUpstreamEnded()));
    }

    @Test
    void aQuarantineArrivesAsItWasSent() {
        Instant now = Instant.ofEpochSecond(100);
        Quarantine.Entry entry =
                new Quarantine.Entry(PART, now.plusSeconds(5), 1, now.minusSeconds(2));
        Frame frame = CrashFrames.quarantined(entry, now);
        assertEquals(entry, CrashFrames.quarantined(PART, frame.getSuspectPart(), now));
    }

    // Guards against a router of an earlier version, which would take a part for a request.
    @Test
    void whatIsSaidOfAPartIsNoFrameOfAnEarlierVersion() {
        assertFalse(CrashFrames.watched(PART).hasSuspectRequest());
        assertEquals("01", CrashFrames.watched(REQUEST).getSuspectRequest().getRequest());
    }
}
