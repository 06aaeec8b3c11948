package io.damaskyoke.control.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private static final int CRASHES = CrashSettings.defaults().crashThreshold();
    private static final CrashSuspect ONE = CrashSuspect.request("01");
    private static final CrashSuspect OTHER = CrashSuspect.request("02");

    private final CrashSuspects suspects = new CrashSuspects(CrashSettings.defaults());
    private Instant now = Instant.ofEpochSecond(100);

    @Test
    void aRequestThatRanAtThreeCrashesIsAPoisonRequest() {
        assertEquals(List.of(), recordCrash("a", ONE, OTHER));
        assertEquals(List.of(), recordCrash("b", ONE));
        assertEquals(List.of(ONE), recordCrash("c", ONE, OTHER));
        assertEquals(2, suspects.countedCrashes(OTHER, now));
    }

    @Test
    void aCrashThatSeveralRoutersReportCountsOnce() {
        recordCrash("a", ONE);
        recordCrash("a", ONE);
        recordCrash("a", ONE);
        assertEquals(1, suspects.countedCrashes(ONE, now));
    }

    // Guards against blaming an innocent request that is sent again and again and ran at a few
    // crashes.
    @Test
    void aSuccessClearsARequest() {
        recordCrash("a", ONE);
        recordCrash("b", ONE);
        suspects.recordSuccess(ONE, now);
        assertEquals(List.of(), recordCrash("c", ONE));
    }

    // Guards against a report of a crash that arrives after the report of a later success.
    @Test
    void crashesBeforeASuccessDoNotCountHoweverLateTheyAreReported() {
        suspects.recordCrash(crashOf("a"), List.of(run(ONE, Duration.ofMillis(500))), now);
        suspects.recordSuccess(ONE, now.plusMillis(300));
        List<CrashedRun> ran = List.of(run(ONE, Duration.ofMillis(500)));
        suspects.recordCrash(crashOf("b"), ran, now.plusMillis(100));
        assertEquals(0, suspects.countedCrashes(ONE, now));
    }

    // Guards against clearing a poison request by an unsuccessful answer.
    @Test
    void anOccasionalSurvivedRunDoesNotClearAPoisonRequest() {
        recordCrash("a", ONE);
        suspects.addSurvivedRuns(ONE, 1);
        recordCrash("b", ONE);
        assertEquals(List.of(ONE), recordCrash("c", ONE));
    }

    // Guards against blaming a request that always fails, is sent again and again, and crashes
    // nothing.
    @Test
    void aRequestWithMoreSurvivedRunsThanCrashesIsNoPoisonRequest() {
        recordCrash("a", ONE);
        recordCrash("b", ONE);
        IntStream.range(0, 4).forEach(each -> suspects.addSurvivedRuns(ONE, 1));
        assertEquals(List.of(), recordCrash("c", ONE));
    }

    @Test
    void oldCrashesDoNotCount() {
        recordCrash("a", ONE);
        recordCrash("b", ONE);
        now = now.plus(Duration.ofMinutes(11));
        assertEquals(List.of(), recordCrash("c", ONE));
    }

    // Guards against memory use that grows with each crash.
    @Test
    void theNumberOfTrackedRequestsIsBounded() {
        for (int each = 0; each < 10_000; each++) {
            recordCrash("a", CrashSuspect.request("r" + each));
        }
        assertEquals(CrashSettings.defaults().maxSuspects(), suspects.size());
    }

    // Guards against blaming a request with many concurrent copies, some of which ran in a rack
    // that failed as a whole.
    @Test
    void crashesTogetherWithThoseOfOtherUpstreamsCountAsOne() {
        recordCrash("a", ONE);
        List<CrashedRun> ran = List.of(run(ONE, Duration.ofMillis(700)));
        suspects.recordCrash(crashOf("b"), ran, now.plusMillis(40));
        suspects.recordCrash(crashOf("c"), ran, now.plusMillis(90));
        suspects.recordCrash(
                crashOf("d"), List.of(run(OTHER, Duration.ofMillis(700))), now.plusMillis(20));
        assertEquals(1, suspects.countedCrashes(ONE, now));
    }

    // Guards against counting several copies of a poison request that run side by side as one.
    @Test
    void simultaneousCrashesUnderCopiesOfARequestCountEach() {
        List<CrashedRun> ran = List.of(run(ONE, Duration.ofMillis(100)));
        suspects.recordCrash(crashOf("a"), ran, now);
        suspects.recordCrash(crashOf("b"), ran, now.plusMillis(5));
        suspects.recordCrash(crashOf("c"), ran, now.plusMillis(90));
        assertEquals(3, suspects.countedCrashes(ONE, now));
    }

    // Guards against ignoring long runs that were under way when the previous upstream crashed.
    @Test
    void crashesUnderCopiesAtDifferentTimesCountEach() {
        List<CrashedRun> ran = List.of(run(ONE, Duration.ofSeconds(2)));
        suspects.recordCrash(crashOf("a"), ran, now);
        suspects.recordCrash(crashOf("b"), ran, now.plusMillis(400));
        suspects.recordCrash(crashOf("c"), ran, now.plusMillis(900));
        assertEquals(3, suspects.countedCrashes(ONE, now));
    }

    // Guards against merging the crashes of a poison request that is retried as soon as its
    // upstream has crashed.
    @Test
    void crashesOneAfterTheOtherCountHoweverFastTheyFollow() {
        recordCrash("a", ONE);
        List<CrashedRun> ran = List.of(run(ONE, Duration.ofMillis(5)));
        suspects.recordCrash(crashOf("b"), ran, now.plusMillis(8));
        suspects.recordCrash(crashOf("c"), ran, now.plusMillis(16));
        assertEquals(3, suspects.countedCrashes(ONE, now));
    }

    private List<CrashSuspect> recordCrash(String upstream, CrashSuspect... running) {
        now = now.plusSeconds(1);
        List<CrashedRun> ran =
                Stream.of(running).map(each -> run(each, Duration.ofMillis(500))).toList();
        suspects.recordCrash(crashOf(upstream), ran, now);
        return suspects.causes(CRASHES, now);
    }

    private static CrashedRun run(CrashSuspect request, Duration time) {
        return new CrashedRun(RequestIdentity.of(request), time);
    }

    private static UpstreamCrash crashOf(String upstream) {
        return new UpstreamCrash(UpstreamId.of(upstream), 1);
    }
}
