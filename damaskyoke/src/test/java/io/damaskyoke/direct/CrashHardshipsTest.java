package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the detection of poison requests under single faults, and several together. */
class CrashHardshipsTest {
    private static final long SEEDS = Long.getLong("crashes.count", 10);
    private static final int ALLOWED = 3;
    private static final Duration TIME = Duration.ofSeconds(30);

    // Guards against an answer with an error status that clears a poison request.
    @Test
    void aDeadlyRequestThatIsAnsweredByFailuresInBetweenReachesFew() {
        assertReachesFew(InjectedFault.FAILURES);
    }

    // Guards against crashes that break no connection, as the caller had left before.
    @Test
    void aDeadlyRequestWhoseCallersLeaveReachesFew() {
        assertReachesFew(InjectedFault.CALLERS_LEAVE);
    }

    // Guards against a probe that shows a crashed upstream as up.
    @Test
    void aDeadlyRequestReachesFewThoughLooksAreWrong() {
        assertReachesFew(InjectedFault.WRONG_LOOKS);
    }

    // Guards against concurrent copies, of which only one crash is counted.
    @Test
    void aDeadlyRequestThatComesInCopiesReachesFew() {
        assertReachesFew(InjectedFault.COPIES);
    }

    // Guards against crashes that are mistaken for planned departures.
    @Test
    void aDeadlyRequestReachesFewThoughUpstreamsAreAboutToLeave() {
        assertReachesFew(InjectedFault.DRAINING);
    }

    // Guards against runs that were in progress when the third upstream crashed.
    @Test
    void aDeadlyRequestThatRunsLongBeforeReachesFew() {
        assertReachesFew(InjectedFault.LONG_RUNS);
    }

    // Guards against an upstream that has restarted before it is probed.
    @Test
    void aDeadlyRequestReachesFewThoughUpstreamsAreBackAtOnce() {
        assertReachesFew(InjectedFault.REBORN);
    }

    // Guards against announcements that arrive late.
    @Test
    void aDeadlyRequestReachesFewThoughNewsIsLate() {
        assertReachesFew(InjectedFault.NEWS_LATE);
    }

    // Guards against announcements that are lost.
    @Test
    void aDeadlyRequestReachesFewThoughNewsGetsLost() {
        assertReachesFew(InjectedFault.NEWS_LOST);
    }

    // Guards against counting routers that restart without their state.
    @Test
    void aDeadlyRequestReachesFewThoughRoutersEnd() {
        assertReachesFew(InjectedFault.ROUTERS_END);
    }

    // Guards against routers that detect a crash but cannot announce it.
    @Test
    void aDeadlyRequestReachesFewThoughRoutersAreCutOff() {
        assertReachesFew(InjectedFault.ROUTERS_CUT);
    }

    // Guards against failures of other requests that hide the cause.
    @Test
    void aDeadlyRequestReachesFewBesidePollsThatFail() {
        assertReachesFew(InjectedFault.FAILING_POLLS);
    }

    // Guards against failures of whole racks that hide the cause.
    @Test
    void aDeadlyRequestReachesFewBesideRacksThatFail() {
        assertReachesFew(InjectedFault.RACKS);
    }

    // Guards against faults that are harmless one at a time.
    @Test
    void aDeadlyRequestReachesFewUpstreamsUnderSeveralHardshipsTogether() {
        assertReachesFew(
                InjectedFault.FAILURES,
                InjectedFault.CALLERS_LEAVE,
                InjectedFault.COPIES,
                InjectedFault.WRONG_LOOKS);
    }

    // Guards against answers with an error status besides crashes.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndFailuresAreAnswered() {
        assertInnocentsAreServed(InjectedFault.FAILURES);
    }

    // Guards against callers that leave, so that their requests seem unanswered.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndCallersLeave() {
        assertInnocentsAreServed(InjectedFault.CALLERS_LEAVE);
    }

    // Guards against crashes that are detected late.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndLooksAreWrong() {
        assertInnocentsAreServed(InjectedFault.WRONG_LOOKS);
    }

    // Guards against polls that run at several upstreams when these crash.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndRequestsComeInCopies() {
        assertInnocentsAreServed(InjectedFault.COPIES);
    }

    // Guards against planned departures.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndUpstreamsAreAboutToLeave() {
        assertInnocentsAreServed(InjectedFault.DRAINING);
    }

    // Guards against crashes that only the list shows.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndAreBackAtOnce() {
        assertInnocentsAreServed(InjectedFault.REBORN);
    }

    // Guards against a success that is announced late.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndNewsIsLate() {
        assertInnocentsAreServed(InjectedFault.NEWS_LATE);
    }

    // Guards against a success whose announcement some router never receives.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndNewsGetsLost() {
        assertInnocentsAreServed(InjectedFault.NEWS_LOST);
    }

    // Guards against a starting router that reads a quarantine that was cleared long ago.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndRoutersEndToo() {
        assertInnocentsAreServed(InjectedFault.ROUTERS_END);
    }

    // Guards against a success that a router cannot announce.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndRoutersAreCutOff() {
        assertInnocentsAreServed(InjectedFault.ROUTERS_CUT);
    }

    // Guards against a request that never succeeds but crashes nothing.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndPollsAlwaysFail() {
        assertInnocentsAreServed(InjectedFault.FAILING_POLLS);
    }

    // Guards against counting the crashes of one rack separately.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAsWholeRacks() {
        assertInnocentsAreServed(InjectedFault.RACKS);
    }

    // Guards against a second full hold for a request whose two copies crashed upstreams just when
    // another crashed by itself, which looked like the failure of a rack until the next crash.
    @Test
    void aDeadlyRequestThatFirstLookedLikeARackIsNotHeldTwice() {
        CrashSimulation world = new CrashSimulation(421, 6, 13, InjectedFault.RACKS);
        world.advance(TIME, 60, 0.1, 1.2);
        assertTrue(
                world.lateSendsOfPoisonRequest() <= ALLOWED,
                world.lateSendsOfPoisonRequest() + " sends");
    }

    // Guards against an innocent request that ran wherever a poison request crashed an upstream.
    @Test
    void noInnocentRequestIsKeptOutBesideADeadlyOne() {
        assertEquals(List.of(), innocentsRefused(4, 13, 60, 0.5, 1.2));
        assertEquals(List.of(), innocentsRefused(33, 42, 150, 1.5, 1.2));
    }

    private static void assertReachesFew(InjectedFault... hardships) {
        assertEquals(List.of(), over(6, 13, 60, 0.1, hardships));
        assertEquals(List.of(), over(33, 42, 150, 0.3, hardships));
    }

    private static void assertInnocentsAreServed(InjectedFault... hardships) {
        assertEquals(List.of(), innocentsRefused(4, 13, 60, 0.5, 0, hardships));
        assertEquals(List.of(), innocentsRefused(33, 42, 150, 1.5, 0, hardships));
    }

    private static List<String> over(
            int routers,
            int workers,
            double perSecond,
            double endsPerSecond,
            InjectedFault... all) {
        List<String> over = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation world = new CrashSimulation(seed, routers, workers, all);
            world.advance(TIME, perSecond, endsPerSecond, 1.2);
            if (world.lateSendsOfPoisonRequest() > ALLOWED) {
                over.add("seed " + seed + ": " + world.lateSendsOfPoisonRequest());
            }
            assertTrue(world.poisonRequestsRefused() > 0, "seed " + seed + ": never refused");
        }
        return over;
    }

    private static List<String> innocentsRefused(
            int routers,
            int workers,
            double perSecond,
            double endsPerSecond,
            double deadlyPerSecond,
            InjectedFault... all) {
        List<String> refused = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation world = new CrashSimulation(seed, routers, workers, all);
            world.advance(TIME, perSecond, endsPerSecond, deadlyPerSecond);
            if (world.innocentsRefused() > 0) {
                refused.add("seed " + seed + ": " + world.innocentsRefused());
            }
        }
        return refused;
    }
}
