package io.damaskyoke.direct.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.direct.crashes.UpstreamCrashDetector.ProbeResult;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class UpstreamCrashDetectorTest {
    private static final RequestIdentity ONE = RequestIdentity.of(CrashSuspect.request("01"));
    private static final RequestIdentity OTHER = RequestIdentity.of(CrashSuspect.request("02"));

    private final TestControlThread control = new TestControlThread();
    private final UpstreamTable table = new UpstreamTable();
    private final Deque<ProbeResult> probeResults = new ArrayDeque<>();
    private final List<RequestIdentity> ran = new ArrayList<>();
    private final List<RequestIdentity> survived = new ArrayList<>();
    private final List<UpstreamCrash> detected = new ArrayList<>();
    private final UpstreamCrashDetector detector =
            new UpstreamCrashDetector(control, this::probe, new RecordingListener(), new Metrics());
    private final Upstream upstream = list(1);

    // Guards against a connection that is still open here, as its break is not noticed yet.
    @Test
    void aProbeIsRepeatedAfterTwoWrongResults() {
        Collections.addAll(probeResults, ProbeResult.ALIVE, ProbeResult.ALIVE, ProbeResult.CRASHED);
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.BROKE);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(ONE), ran);
        assertEquals(1, detected.size());
    }

    // Guards against callers that leave just before the crash, so that no connection breaks.
    @Test
    void aRunWhoseCallerLeftJustBeforeTheCrashIsReported() {
        probeResults.add(ProbeResult.CRASHED);
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.CALLER_GONE);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(ONE), ran);
    }

    // Guards against an innocent request whose caller left long before the upstream crashed.
    @Test
    void aRunCanceledLongBeforeTheCrashIsNotReported() {
        Collections.addAll(probeResults, ProbeResult.ALIVE, ProbeResult.CRASHED);
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.CALLER_GONE);
        pass(Duration.ofSeconds(3));
        detector.recordCutRun(upstream, OTHER, now(), IncompleteRunCause.BROKE);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(OTHER), ran);
    }

    // Guards against a later probe, for a caller that left, that delays the one for a break.
    @Test
    void aBreakIsProbedAtOnceThoughACallerHasJustLeft() {
        probeResults.add(ProbeResult.CRASHED);
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.CALLER_GONE);
        detector.recordCutRun(upstream, OTHER, now(), IncompleteRunCause.BROKE);
        pass(Duration.ofMillis(50));
        assertEquals(List.of(ONE, OTHER), ran);
    }

    @Test
    void aRunWhoseUpstreamAnswersLaterIsSurvived() {
        Instant sentAt = now();
        detector.recordCutRun(upstream, ONE, sentAt, IncompleteRunCause.TIME_UP);
        detector.upstreamAnswered(upstream, sentAt.plusMillis(1_500));
        assertEquals(List.of(ONE), survived);
        detector.upstreamRemoved(upstream.facts().id());
        assertEquals(List.of(), ran);
    }

    // Guards against crashes that break no connection, so that requests run into their timeout.
    @Test
    void aRunCutOffAfterTheCrashIsReported() {
        detector.crashReceived(new UpstreamCrash(upstream.facts().id(), 1));
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.TIME_UP);
        assertEquals(List.of(ONE), ran);
    }

    // Guards against mistaking an upstream whose connections are all in use for a crashed one.
    @Test
    void anUpstreamThatRefusesAndAnswersLaterHasNotCrashed() {
        detector.crashReceived(new UpstreamCrash(upstream.facts().id(), 1));
        pass(Duration.ofSeconds(1));
        detector.upstreamAnswered(upstream, now());
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.CALLER_GONE);
        pass(Duration.ofSeconds(2));
        assertEquals(List.of(), ran);
    }

    @Test
    void aRestartOfAnUpstreamIsACrash() {
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.BROKE);
        detector.upstreamListed(list(2).facts());
        assertEquals(List.of(ONE), ran);
    }

    // Guards against memory that grows with each canceled run.
    @Test
    void runsCutOffLongAgoAreForgotten() {
        detector.recordCutRun(upstream, ONE, now(), IncompleteRunCause.BROKE);
        pass(Duration.ofSeconds(11));
        detector.upstreamRemoved(upstream.facts().id());
        assertEquals(List.of(), ran);
    }

    private void probe(Upstream looked, boolean vouch, Consumer<ProbeResult> then) {
        then.accept(probeResults.isEmpty() ? ProbeResult.UNKNOWN : probeResults.remove());
    }

    private void pass(Duration time) {
        control.advance(time);
    }

    private Instant now() {
        return control.clock().instant();
    }

    private Upstream list(long incarnation) {
        UpstreamId id = UpstreamId.of("i-1");
        UpstreamFacts facts =
                new UpstreamFacts(
                        id,
                        incarnation,
                        "service",
                        new Endpoint("127.0.0.1", 1),
                        "a",
                        16,
                        false,
                        Duration.ZERO,
                        new HeldModels(incarnation, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of());
        table.put(facts, now());
        return table.find(id).orElseThrow();
    }

    private final class RecordingListener implements UpstreamCrashDetector.Listener {
        @Override
        public void runsCrashed(UpstreamCrash crash, Duration ago, List<CrashedRun> all) {
            all.forEach(each -> ran.add(each.request()));
        }

        @Override
        public void crashDetected(UpstreamCrash crash) {
            detected.add(crash);
        }

        @Override
        public void runSurvived(RequestIdentity request) {
            survived.add(request);
        }
    }
}
