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
    private static final CrashSuspect PART = CrashSuspect.promptPart("5c1e");
    private static final CrashSuspect FREQUENT = CrashSuspect.promptPart("91bd");
    private static final CrashSuspect RARE = CrashSuspect.promptPart("e440");

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

    // Guards against requests that crash upstreams one after the other, since no two are alike.
    @Test
    void aPartOfTheirPromptsIsTheCauseThoughNoTwoRequestsAreAlike() {
        recordCrash("a", run("1", PART, FREQUENT), run("2", FREQUENT));
        recordCrash("b", run("3", FREQUENT), run("4", FREQUENT, PART));
        assertEquals(List.of(PART), recordCrash("c", run("5", PART), run("6", RARE)));
    }

    // Guards against blaming a frequent sound part, which runs at each crash too.
    @Test
    void ofPartsThatRanAtTheSameCrashesTheOneWithFewestRunsIsTheCause() {
        recordCrash("a", run("1", PART), run("2", FREQUENT), run("3", FREQUENT));
        recordCrash("b", run("4", PART), run("5", FREQUENT), run("6", FREQUENT));
        assertEquals(
                List.of(PART),
                recordCrash("c", run("7", PART), run("8", FREQUENT), run("9", FREQUENT)));
    }

    // Guards against blaming a sound part for a few crashes of other causes beside it.
    @Test
    void aPartThatHasSucceededIsNoCauseWhereAnotherOneExplainsTheCrashes() {
        recordCrash("a", run("1", FREQUENT));
        suspects.recordSuccess(FREQUENT, now);
        recordCrash("b", run("2", PART, FREQUENT));
        recordCrash("c", run("3", FREQUENT));
        recordCrash("d", run("4", PART, FREQUENT));
        assertEquals(List.of(PART), recordCrash("e", run("5", PART, FREQUENT)));
    }

    // Guards against refusing requests that share a part with a request that crashes upstreams.
    @Test
    void aRequestThatIsSentAgainIsTheCauseAndNotItsParts() {
        recordCrash("a", run("1", PART));
        recordCrash("b", run("1", PART));
        assertEquals(List.of(CrashSuspect.request("1")), recordCrash("c", run("1", PART)));
    }

    // Guards against a second poison part that stays hidden behind the first one.
    @Test
    void twoPartsThatCrashUpstreamsAreBothFound() {
        for (String each : List.of("a", "b", "c", "d")) {
            recordCrash(each, run(each, PART));
        }
        recordCrash("e", run("5", RARE));
        recordCrash("f", run("6", RARE));
        assertEquals(List.of(PART, RARE), recordCrash("g", run("7", RARE)));
    }

    private List<CrashSuspect> recordCrash(String upstream, CrashedRun... runs) {
        now = now.plusSeconds(1);
        suspects.recordCrash(crashOf(upstream), List.of(runs), now);
        return suspects.causes(CRASHES, now);
    }

    private static CrashedRun run(String request, CrashSuspect... parts) {
        return new CrashedRun(
                new RequestIdentity(CrashSuspect.request(request), List.of(parts)),
                Duration.ofMillis(100));
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
