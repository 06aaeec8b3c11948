package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A deadly request in a world that is less kind, one hardship at a time and several together. */
class CrashHardshipsTest {
    private static final long SEEDS = Long.getLong("crashes.count", 10);
    private static final int ALLOWED = 3;
    private static final Duration TIME = Duration.ofSeconds(30);

    // Guards against a failure as answer that clears what had ended several.
    @Test
    void aDeadlyRequestThatIsAnsweredByFailuresInBetweenReachesFew() {
        assertReachesFew(Hardship.FAILURES);
    }

    // Guards against ends that break no connection, as the caller had left before.
    @Test
    void aDeadlyRequestWhoseCallersLeaveReachesFew() {
        assertReachesFew(Hardship.CALLERS_LEAVE);
    }

    // Guards against a look at an ended upstream that seems to be taken.
    @Test
    void aDeadlyRequestReachesFewThoughLooksAreWrong() {
        assertReachesFew(Hardship.WRONG_LOOKS);
    }

    // Guards against copies side by side, of which one end is counted.
    @Test
    void aDeadlyRequestThatComesInCopiesReachesFew() {
        assertReachesFew(Hardship.COPIES);
    }

    // Guards against ends that are taken for planned ones.
    @Test
    void aDeadlyRequestReachesFewThoughUpstreamsAreAboutToLeave() {
        assertReachesFew(Hardship.DRAINING);
    }

    // Guards against runs that were on their way when the third upstream ended.
    @Test
    void aDeadlyRequestThatRunsLongBeforeReachesFew() {
        assertReachesFew(Hardship.LONG_RUNS);
    }

    // Guards against an upstream that is back before anybody looks.
    @Test
    void aDeadlyRequestReachesFewThoughUpstreamsAreBackAtOnce() {
        assertReachesFew(Hardship.REBORN);
    }

    // Guards against words of routers that come late.
    @Test
    void aDeadlyRequestReachesFewThoughNewsIsLate() {
        assertReachesFew(Hardship.NEWS_LATE);
    }

    // Guards against words of routers that never come.
    @Test
    void aDeadlyRequestReachesFewThoughNewsGetsLost() {
        assertReachesFew(Hardship.NEWS_LOST);
    }

    // Guards against routers that count, and forget.
    @Test
    void aDeadlyRequestReachesFewThoughRoutersEnd() {
        assertReachesFew(Hardship.ROUTERS_END);
    }

    // Guards against routers that see an end and can't tell.
    @Test
    void aDeadlyRequestReachesFewThoughRoutersAreCutOff() {
        assertReachesFew(Hardship.ROUTERS_CUT);
    }

    // Guards against failures of others that hide the cause.
    @Test
    void aDeadlyRequestReachesFewBesidePollsThatFail() {
        assertReachesFew(Hardship.FAILING_POLLS);
    }

    // Guards against racks that hide the cause.
    @Test
    void aDeadlyRequestReachesFewBesideRacksThatFail() {
        assertReachesFew(Hardship.RACKS);
    }

    // Guards against hardships that one by one do no harm.
    @Test
    void aDeadlyRequestReachesFewUpstreamsUnderSeveralHardshipsTogether() {
        assertReachesFew(
                Hardship.FAILURES, Hardship.CALLERS_LEAVE, Hardship.COPIES, Hardship.WRONG_LOOKS);
    }

    // Guards against failures beside ends.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndFailuresAreAnswered() {
        assertInnocentsAreServed(Hardship.FAILURES);
    }

    // Guards against callers that leave, whose requests look unanswered.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndCallersLeave() {
        assertInnocentsAreServed(Hardship.CALLERS_LEAVE);
    }

    // Guards against ends that come to be known late.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndLooksAreWrong() {
        assertInnocentsAreServed(Hardship.WRONG_LOOKS);
    }

    // Guards against polls that run at several upstreams when these end.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndRequestsComeInCopies() {
        assertInnocentsAreServed(Hardship.COPIES);
    }

    // Guards against planned ends.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndUpstreamsAreAboutToLeave() {
        assertInnocentsAreServed(Hardship.DRAINING);
    }

    // Guards against ends that only the list shows.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndAreBackAtOnce() {
        assertInnocentsAreServed(Hardship.REBORN);
    }

    // Guards against an answer that is told late.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndNewsIsLate() {
        assertInnocentsAreServed(Hardship.NEWS_LATE);
    }

    // Guards against an answer that some router is never told of.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndNewsGetsLost() {
        assertInnocentsAreServed(Hardship.NEWS_LOST);
    }

    // Guards against a router that starts and reads what was cleared long ago.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndRoutersEndToo() {
        assertInnocentsAreServed(Hardship.ROUTERS_END);
    }

    // Guards against an answer that a router can't tell of.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndRoutersAreCutOff() {
        assertInnocentsAreServed(Hardship.ROUTERS_CUT);
    }

    // Guards against a request that never succeeds and ends nothing.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndPollsAlwaysFail() {
        assertInnocentsAreServed(Hardship.FAILING_POLLS);
    }

    // Guards against racks whose ends are counted one by one.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAsWholeRacks() {
        assertInnocentsAreServed(Hardship.RACKS);
    }

    // Guards against two copies beside an upstream that ends by itself at the same moment, which
    // looked like a rack until the request came again, and was then held anew.
    @Test
    void aDeadlyRequestThatFirstLookedLikeARackIsNotHeldTwice() {
        CrashWorld world = new CrashWorld(421, 6, 13, Hardship.RACKS);
        world.pass(TIME, 60, 0.1, 1.2);
        assertTrue(world.deadlySendsTooMany() <= ALLOWED, world.deadlySendsTooMany() + " sends");
    }

    // Guards against an innocent request that ran wherever a deadly one ended an upstream.
    @Test
    void noInnocentRequestIsKeptOutBesideADeadlyOne() {
        assertEquals(List.of(), innocentsRefused(4, 13, 60, 0.5, 1.2));
        assertEquals(List.of(), innocentsRefused(33, 42, 150, 1.5, 1.2));
    }

    private static void assertReachesFew(Hardship... hardships) {
        assertEquals(List.of(), over(6, 13, 60, 0.1, hardships));
        assertEquals(List.of(), over(33, 42, 150, 0.3, hardships));
    }

    private static void assertInnocentsAreServed(Hardship... hardships) {
        assertEquals(List.of(), innocentsRefused(4, 13, 60, 0.5, 0, hardships));
        assertEquals(List.of(), innocentsRefused(33, 42, 150, 1.5, 0, hardships));
    }

    private static List<String> over(
            int routers, int workers, double perSecond, double endsPerSecond, Hardship... all) {
        List<String> over = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashWorld world = new CrashWorld(seed, routers, workers, all);
            world.pass(TIME, perSecond, endsPerSecond, 1.2);
            if (world.deadlySendsTooMany() > ALLOWED) {
                over.add("seed " + seed + ": " + world.deadlySendsTooMany());
            }
            assertTrue(world.deadlyRefused() > 0, "seed " + seed + ": never refused");
        }
        return over;
    }

    private static List<String> innocentsRefused(
            int routers,
            int workers,
            double perSecond,
            double endsPerSecond,
            double deadlyPerSecond,
            Hardship... all) {
        List<String> refused = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashWorld world = new CrashWorld(seed, routers, workers, all);
            world.pass(TIME, perSecond, endsPerSecond, deadlyPerSecond);
            if (world.innocentsRefused() > 0) {
                refused.add("seed " + seed + ": " + world.innocentsRefused());
            }
        }
        return refused;
    }
}
