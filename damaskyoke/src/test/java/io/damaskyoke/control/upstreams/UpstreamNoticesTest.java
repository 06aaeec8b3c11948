package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.notices.PauseGate;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests what the table keeps of the pauses and departures that upstreams state. */
class UpstreamNoticesTest {
    private static final int MANY = 300;
    private static final UpstreamId ONE = UpstreamId.of("u1");
    private static final Duration PAUSE = Duration.ofSeconds(30);

    private final UpstreamTable table = new UpstreamTable();
    private final Instant start = Instant.ofEpochSecond(1_000);
    private long revision;

    // Guards against pauses and departures that are forgotten as the whole list goes in an outage
    // of
    // the store and comes back.
    @Test
    void noticesOutliveTheRemovalOfTheWholeList() {
        listAll(start, 1);
        table.pauseRequested(ONE, PAUSE, start);
        table.departureStated(UpstreamId.of("u2"), start);
        for (int each = 0; each < MANY; each++) {
            table.remove(UpstreamId.of("u" + each), ++revision);
        }
        Instant later = start.plusSeconds(20);
        listAll(later, 1);
        assertFalse(table.find(ONE).orElseThrow().accepts(later));
        assertTrue(table.find(UpstreamId.of("u2")).orElseThrow().isLeaving());
        assertTrue(table.find(ONE).orElseThrow().accepts(start.plus(PAUSE)));
    }

    // Guards against notices of upstreams that left long ago, kept for as long as the process runs.
    @Test
    void noticesOfUpstreamsThatAreGoneAreDroppedInTheEnd() {
        list("u1", start, 1);
        table.departureStated(ONE, start);
        table.remove(ONE, ++revision);
        Instant later = start.plus(Duration.ofHours(2));
        for (int each = 2; each < MANY; each++) {
            list("u" + each, later, 1);
            table.remove(UpstreamId.of("u" + each), ++revision);
        }
        list("u1", later, 1);
        assertFalse(table.find(ONE).orElseThrow().isLeaving());
    }

    // Guards against an upstream that stays closed after it has started again.
    @Test
    void aNewIncarnationHasStatedNothing() {
        list("u1", start, 1);
        table.pauseRequested(ONE, PAUSE, start);
        table.departureStated(ONE, start);
        Instant later = start.plusSeconds(3);
        list("u1", later, later.toEpochMilli());
        assertTrue(table.find(ONE).orElseThrow().accepts(later));
    }

    // Guards against an upstream that stays closed after a restart, as its clock was set back.
    @Test
    void anIncarnationThatStartedEarlierByItsClockHasStatedNothing() {
        long started = start.toEpochMilli();
        list("u1", start, started);
        Instant said = start.plusSeconds(5);
        table.pauseRequested(ONE, PAUSE, said);
        table.departureStated(ONE, said);
        list("u1", said.plusSeconds(4), started - 60_000);
        assertTrue(table.find(ONE).orElseThrow().accepts(said.plusSeconds(4)));
    }

    // Guards against the same if its entry comes so soon that the new incarnation may have said it.
    @Test
    void whatEitherOfTwoIncarnationsMayHaveStatedDoesNotHoldForGood() {
        long started = start.toEpochMilli();
        list("u1", start, started);
        Instant said = start.plusSeconds(5);
        table.departureStated(ONE, said);
        list("u1", said.plusSeconds(1), started - 60_000);
        assertTrue(table.find(ONE).orElseThrow().isLeaving());
        list("u1", said.plusSeconds(40), started - 60_000);
        assertFalse(table.find(ONE).orElseThrow().isLeaving());
    }

    // Guards against an entry that was on its way when its upstream, which has just started, said
    // that it leaves.
    @Test
    void theFirstEntryOfAnIncarnationTakesNothingBackThatItHasSaid() {
        list("u1", start, 1);
        Instant said = start.plusSeconds(5);
        table.departureStated(ONE, said);
        list("u1", said.plusSeconds(1), said.minusSeconds(1).toEpochMilli());
        assertTrue(table.find(ONE).orElseThrow().isLeaving());
    }

    // Guards against a wrong figure that takes an upstream out of service until a restart.
    @Test
    void aPauseIsAtMostTenMinutes() {
        list("u1", start, 1);
        table.pauseRequested(ONE, Duration.ofDays(7), start);
        Upstream upstream = table.find(ONE).orElseThrow();
        assertFalse(upstream.accepts(start.plus(PauseGate.MAX_PAUSE).minusMillis(1)));
        assertTrue(upstream.accepts(start.plus(PauseGate.MAX_PAUSE)));
    }

    // Guards against more requests at once than the gradual return allows, as an answer in it asks
    // for
    // no time at all.
    @Test
    void aPauseOfNoTimeLeavesTheGradualReturnAsItIs() {
        PauseGate gate = new PauseGate();
        gate.pauseRequested(Duration.ofSeconds(1), 1, start);
        Instant after = start.plusSeconds(1);
        gate.requestAssigned();
        gate.pauseRequested(Duration.ZERO, 1, after);
        assertFalse(gate.hasCapacity(4));
        gate.requestFinished(after);
        assertTrue(gate.hasCapacity(4));
        gate.requestAssigned();
        assertFalse(gate.hasCapacity(4));
    }

    // Guards against a log line for each answer of an upstream whose pauses can't be read.
    @Test
    void anUnreadablePauseIsReportedOnce() {
        PauseGate gate = new PauseGate();
        assertTrue(gate.markInvalid());
        assertFalse(gate.markInvalid());
    }

    // Guards against an upstream that fills the memory by answers under ever new names.
    @Test
    void noticesOfUnlistedNamesAreBounded() {
        list("u1", start, 1);
        for (int each = 0; each < 10_000; each++) {
            table.departureStated(UpstreamId.of("name" + each), start);
        }
        assertTrue(table.departureStated(UpstreamId.of("name9999"), start));
        assertTrue(table.departureStated(ONE, start));
        assertFalse(table.departureStated(ONE, start));
    }

    // Guards against a short pause of a full upstream that ends a longer one.
    @Test
    void aFullUpstreamStaysFullUntilTheLastOfItsPauses() {
        list("u1", start, 1);
        Upstream upstream = table.find(ONE).orElseThrow();
        upstream.requestRejected(start, Duration.ofMillis(300));
        upstream.requestRejected(start, Duration.ofMillis(30));
        assertTrue(upstream.isFull(start.plusMillis(299)));
        assertFalse(upstream.isFull(start.plusMillis(300)));
    }

    // Guards against requests that all go at once to an upstream whose pause has ended.
    @Test
    void afterAPauseRequestsComeOneByOneAndThenAsUsual() {
        PauseGate gate = new PauseGate();
        assertTrue(gate.hasCapacity(4));
        gate.pauseRequested(Duration.ofSeconds(1), 1, start);
        Instant after = start.plusSeconds(1);
        int sent = 0;
        for (int round = 0; round < 3; round++) {
            int atOnce = 0;
            for (; gate.hasCapacity(4) && atOnce < 10; atOnce++) {
                gate.requestAssigned();
            }
            sent += atOnce;
            assertEquals(1 << round, atOnce > 4 ? 4 : atOnce);
            for (int each = 0; each < atOnce; each++) {
                gate.requestAnswered(after);
                gate.requestFinished(after);
            }
        }
        assertTrue(sent >= 7 && gate.hasCapacity(4));
        gate.requestAnswered(start);
    }

    private void listAll(Instant now, long startedAt) {
        for (int each = 0; each < MANY; each++) {
            list("u" + each, now, startedAt);
        }
    }

    private void list(String id, Instant now, long startedAt) {
        table.put(
                TestFacts.of(
                        id,
                        ++revision,
                        "service",
                        4,
                        new HeldModels(startedAt, HeldModels.UNKNOWN_SEQUENCE, Map.of())),
                now);
    }
}
