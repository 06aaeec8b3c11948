package io.damaskyoke.direct.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how a quarantined prompt part is tried again, at one router. */
class PromptPartTrialTest {
    private static final CrashSuspect PART = CrashSuspect.promptPart("5c1e");
    private static final CrashSuspect OTHER = CrashSuspect.promptPart("91bd");
    private static final Duration FIRST_QUARANTINE = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final TestControlThread control = new TestControlThread();
    private final List<Quarantine.Entry> announced = new ArrayList<>();
    private final PoisonRequestDetector detector = detector();
    private long requests;

    // Guards against a sound part that is quarantined by mistake and stays so for minutes.
    @Test
    void aSuccessfulTrialFreesThePart() {
        crashThree(PART);
        assertTrue(detector.tryAdmit(request(PART)).isPresent());
        control.advance(FIRST_QUARANTINE);
        RequestIdentity trial = request(PART);
        assertTrue(detector.tryAdmit(trial).isEmpty());
        assertTrue(detector.tryAdmit(request(PART)).isPresent());
        detector.recordAnswer(trial, now(), OK);
        assertTrue(detector.isQuarantineEmpty());
    }

    // Guards against a trial by each router that starts again or takes over.
    @Test
    void aTrialIsAnnounced() {
        crashThree(PART);
        control.advance(FIRST_QUARANTINE);
        detector.tryAdmit(request(PART));
        assertEquals(1, announced.get(announced.size() - 1).trials());
    }

    // Guards against a trial whose failure would be blamed on a sound part.
    @Test
    void aRequestWithTwoQuarantinedPartsIsNoTrial() {
        crashThree(PART);
        crashThree(OTHER);
        control.advance(FIRST_QUARANTINE);
        assertTrue(detector.tryAdmit(request(PART, OTHER)).isPresent());
        assertTrue(detector.tryAdmit(request(OTHER)).isEmpty());
    }

    // Guards against refusing requests that share the other parts.
    @Test
    void requestsWithoutThePartAreAdmitted() {
        crashThree(PART);
        assertTrue(detector.tryAdmit(request(OTHER)).isEmpty());
        assertFalse(detector.isQuarantined(request(OTHER)));
        assertTrue(detector.isQuarantined(request(OTHER, PART)));
    }

    private void crashThree(CrashSuspect part) {
        for (int each = 0; each < 3; each++) {
            UpstreamCrash crash = new UpstreamCrash(UpstreamId.of("i-" + ++requests), 1);
            CrashedRun run = new CrashedRun(request(part), Duration.ofMillis(100));
            detector.countCrash(crash, Duration.ZERO, List.of(run));
            control.advance(Duration.ofSeconds(1));
        }
        control.advance(Duration.ofSeconds(2));
        assertTrue(detector.isQuarantined(request(part)));
    }

    private RequestIdentity request(CrashSuspect... parts) {
        return new RequestIdentity(CrashSuspect.request("r" + ++requests), List.of(parts));
    }

    private PoisonRequestDetector detector() {
        CrashAnnouncer announcer =
                new SilentCrashAnnouncer() {
                    @Override
                    public void announceQuarantined(Quarantine.Entry entry) {
                        announced.add(entry);
                    }
                };
        return new PoisonRequestDetector(
                control,
                announcer,
                (upstream, vouch, then) -> {},
                () -> true,
                () -> true,
                new Metrics());
    }

    private Instant now() {
        return control.clock().instant();
    }
}
