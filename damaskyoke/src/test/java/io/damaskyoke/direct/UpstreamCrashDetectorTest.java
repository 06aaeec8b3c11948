package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.direct.UpstreamCrashDetector.ProbeResult;
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
    private static final RequestDigest ONE = new RequestDigest("01");
    private static final RequestDigest OTHER = new RequestDigest("02");

    private final TestControlThread control = new TestControlThread();
    private final UpstreamTable table = new UpstreamTable();
    private final Deque<ProbeResult> signs = new ArrayDeque<>();
    private final List<RequestDigest> ran = new ArrayList<>();
    private final List<RequestDigest> survived = new ArrayList<>();
    private final List<UpstreamCrash> found = new ArrayList<>();
    private final UpstreamCrashDetector ends =
            new UpstreamCrashDetector(control, this::look, new Noting(), new Metrics());
    private final Upstream upstream = list(1);

    // Guards against a connection that is still open here, as its break is not noticed yet.
    @Test
    void aLookThatIsWrongTwiceIsRepeated() {
        Collections.addAll(signs, ProbeResult.ALIVE, ProbeResult.ALIVE, ProbeResult.ENDED);
        ends.recordCutRun(upstream, ONE, now(), Cut.BROKE);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(ONE), ran);
        assertEquals(1, found.size());
    }

    // Guards against callers that leave just before the crash, so that no connection breaks.
    @Test
    void aRunWhoseCallerLeftJustBeforeTheEndIsTold() {
        signs.add(ProbeResult.ENDED);
        ends.recordCutRun(upstream, ONE, now(), Cut.CALLER_GONE);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(ONE), ran);
    }

    // Guards against an innocent request whose caller left long before the upstream crashed.
    @Test
    void aRunThatWasCalledOffLongBeforeTheEndIsNotTold() {
        Collections.addAll(signs, ProbeResult.ALIVE, ProbeResult.ENDED);
        ends.recordCutRun(upstream, ONE, now(), Cut.CALLER_GONE);
        pass(Duration.ofSeconds(3));
        ends.recordCutRun(upstream, OTHER, now(), Cut.BROKE);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(OTHER), ran);
    }

    // Guards against a later probe, for a caller that left, that delays the one for a break.
    @Test
    void aBreakIsLookedIntoAtOnceThoughACallerHasJustLeft() {
        signs.add(ProbeResult.ENDED);
        ends.recordCutRun(upstream, ONE, now(), Cut.CALLER_GONE);
        ends.recordCutRun(upstream, OTHER, now(), Cut.BROKE);
        pass(Duration.ofMillis(50));
        assertEquals(List.of(ONE, OTHER), ran);
    }

    @Test
    void aRunWhoseUpstreamAnswersLaterHasBeenBorne() {
        Instant sentAt = now();
        ends.recordCutRun(upstream, ONE, sentAt, Cut.TIME_UP);
        ends.upstreamAnswered(upstream, sentAt.plusMillis(1_500));
        assertEquals(List.of(ONE), survived);
        ends.upstreamRemoved(upstream.facts().id());
        assertEquals(List.of(), ran);
    }

    // Guards against crashes that break no connection, so that requests run into their timeout.
    @Test
    void aRunThatComesToItsEndAfterTheUpstreamIsTold() {
        ends.crashReceived(new UpstreamCrash(upstream.facts().id(), 1));
        ends.recordCutRun(upstream, ONE, now(), Cut.TIME_UP);
        assertEquals(List.of(ONE), ran);
    }

    // Guards against mistaking an upstream whose connections are all in use for a crashed one.
    @Test
    void anUpstreamThatRefusesAndAnswersLaterHasNotEnded() {
        ends.crashReceived(new UpstreamCrash(upstream.facts().id(), 1));
        pass(Duration.ofSeconds(1));
        ends.upstreamAnswered(upstream, now());
        ends.recordCutRun(upstream, ONE, now(), Cut.CALLER_GONE);
        pass(Duration.ofSeconds(2));
        assertEquals(List.of(), ran);
    }

    @Test
    void anUpstreamThatStartsAgainHasEnded() {
        ends.recordCutRun(upstream, ONE, now(), Cut.BROKE);
        ends.upstreamListed(list(2).facts());
        assertEquals(List.of(ONE), ran);
    }

    // Guards against memory that grows with each canceled run.
    @Test
    void whatWasCutLongAgoIsForgotten() {
        ends.recordCutRun(upstream, ONE, now(), Cut.BROKE);
        pass(Duration.ofSeconds(11));
        ends.upstreamRemoved(upstream.facts().id());
        assertEquals(List.of(), ran);
    }

    private void look(Upstream looked, boolean vouch, Consumer<ProbeResult> then) {
        then.accept(signs.isEmpty() ? ProbeResult.NONE : signs.remove());
    }

    private void pass(Duration time) {
        control.advance(time);
    }

    private Instant now() {
        return control.clock().instant();
    }

    private Upstream list(long life) {
        UpstreamId id = UpstreamId.of("i-1");
        UpstreamFacts facts =
                new UpstreamFacts(
                        id,
                        life,
                        "service",
                        new Endpoint("127.0.0.1", 1),
                        "a",
                        16,
                        false,
                        Duration.ZERO,
                        new HeldModels(life, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of());
        table.put(facts, now());
        return table.find(id).orElseThrow();
    }

    private final class Noting implements UpstreamCrashDetector.Listener {
        @Override
        public void runsCrashed(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> all) {
            ran.addAll(all.keySet());
        }

        @Override
        public void crashDetected(UpstreamCrash end) {
            found.add(end);
        }

        @Override
        public void runSurvived(RequestDigest request) {
            survived.add(request);
        }
    }
}
