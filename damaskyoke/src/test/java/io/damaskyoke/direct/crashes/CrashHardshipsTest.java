package io.damaskyoke.direct.crashes;

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
    void aPoisonRequestThatIsAnsweredWithErrorsInBetweenReachesFew() {
        assertReachesFew(InjectedFault.ERROR_ANSWERS);
    }

    // Guards against crashes that break no connection, as the caller had left before.
    @Test
    void aPoisonRequestWhoseCallersLeaveReachesFew() {
        assertReachesFew(InjectedFault.CALLERS_LEAVE);
    }

    // Guards against a probe that shows a crashed upstream as up.
    @Test
    void aPoisonRequestReachesFewThoughProbesAreWrong() {
        assertReachesFew(InjectedFault.WRONG_PROBES);
    }

    // Guards against concurrent copies, of which only one crash is counted.
    @Test
    void aPoisonRequestThatComesInCopiesReachesFew() {
        assertReachesFew(InjectedFault.COPIES);
    }

    // Guards against crashes that are mistaken for planned departures.
    @Test
    void aPoisonRequestReachesFewThoughUpstreamsAreAboutToLeave() {
        assertReachesFew(InjectedFault.DRAINING);
    }

    // Guards against runs that were in progress when the third upstream crashed.
    @Test
    void aPoisonRequestThatRunsLongBeforeReachesFew() {
        assertReachesFew(InjectedFault.LONG_RUNS);
    }

    // Guards against an upstream that has restarted before it is probed.
    @Test
    void aPoisonRequestReachesFewThoughUpstreamsAreBackAtOnce() {
        assertReachesFew(InjectedFault.FAST_RESTARTS);
    }

    // Guards against announcements that arrive late.
    @Test
    void aPoisonRequestReachesFewThoughAnnouncementsAreLate() {
        assertReachesFew(InjectedFault.LATE_ANNOUNCEMENTS);
    }

    // Guards against announcements that are lost.
    @Test
    void aPoisonRequestReachesFewThoughAnnouncementsAreLost() {
        assertReachesFew(InjectedFault.LOST_ANNOUNCEMENTS);
    }

    // Guards against counting routers that restart without their state.
    @Test
    void aPoisonRequestReachesFewThoughRoutersRestart() {
        assertReachesFew(InjectedFault.ROUTER_RESTARTS);
    }

    // Guards against routers that detect a crash but cannot announce it.
    @Test
    void aPoisonRequestReachesFewThoughRoutersAreCutOff() {
        assertReachesFew(InjectedFault.ROUTERS_CUT_OFF);
    }

    // Guards against failures of other requests that hide the cause.
    @Test
    void aPoisonRequestReachesFewBesidePollsThatFail() {
        assertReachesFew(InjectedFault.FAILING_POLLS);
    }

    // Guards against failures of whole racks that hide the cause.
    @Test
    void aPoisonRequestReachesFewBesideRacksThatFail() {
        assertReachesFew(InjectedFault.RACK_FAILURES);
    }

    // Guards against faults that are harmless one at a time.
    @Test
    void aPoisonRequestReachesFewUpstreamsUnderSeveralHardshipsTogether() {
        assertReachesFew(
                InjectedFault.ERROR_ANSWERS,
                InjectedFault.CALLERS_LEAVE,
                InjectedFault.COPIES,
                InjectedFault.WRONG_PROBES);
    }

    // Guards against answers with an error status besides crashes.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndErrorsAreAnswered() {
        assertInnocentsAreServed(InjectedFault.ERROR_ANSWERS);
    }

    // Guards against callers that leave, so that their requests seem unanswered.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndCallersLeave() {
        assertInnocentsAreServed(InjectedFault.CALLERS_LEAVE);
    }

    // Guards against crashes that are detected late.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndProbesAreWrong() {
        assertInnocentsAreServed(InjectedFault.WRONG_PROBES);
    }

    // Guards against polls that run at several upstreams when these crash.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndRequestsComeInCopies() {
        assertInnocentsAreServed(InjectedFault.COPIES);
    }

    // Guards against planned departures.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndUpstreamsAreAboutToLeave() {
        assertInnocentsAreServed(InjectedFault.DRAINING);
    }

    // Guards against crashes that only the list shows.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndAreBackAtOnce() {
        assertInnocentsAreServed(InjectedFault.FAST_RESTARTS);
    }

    // Guards against a success that is announced late.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndAnnouncementsAreLate() {
        assertInnocentsAreServed(InjectedFault.LATE_ANNOUNCEMENTS);
    }

    // Guards against a success whose announcement some router never receives.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndAnnouncementsAreLost() {
        assertInnocentsAreServed(InjectedFault.LOST_ANNOUNCEMENTS);
    }

    // Guards against a starting router that reads a quarantine that was cleared long ago.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndRoutersRestart() {
        assertInnocentsAreServed(InjectedFault.ROUTER_RESTARTS);
    }

    // Guards against a success that a router cannot announce.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAndRoutersAreCutOff() {
        assertInnocentsAreServed(InjectedFault.ROUTERS_CUT_OFF);
    }

    // Guards against a request that never succeeds but crashes nothing.
    @Test
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashAndPollsAlwaysFail() {
        assertInnocentsAreServed(InjectedFault.FAILING_POLLS);
    }

    // Guards against counting the crashes of one rack separately.
    @Test
    void noInnocentRequestIsKeptOutWhileUpstreamsEndAsWholeRacks() {
        assertInnocentsAreServed(InjectedFault.RACK_FAILURES);
    }

    // Guards against a second full hold for a request whose two copies crashed upstreams just when
    // another crashed by itself, which looked like the failure of a rack until the next crash.
    @Test
    void aPoisonRequestThatFirstLookedLikeARackFailureDoesNotWaitForASecondClearingTime() {
        CrashSimulation simulation = new CrashSimulation(421, 6, 13, InjectedFault.RACK_FAILURES);
        simulation.advance(TIME, 60, 0.1, 1.2);
        assertTrue(
                simulation.lateSendsOfPoisonRequest() <= ALLOWED,
                simulation.lateSendsOfPoisonRequest() + " sends");
    }

    // Guards against an innocent request that ran wherever a poison request crashed an upstream.
    @Test
    void noInnocentRequestIsQuarantinedBesideAPoisonRequest() {
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
            double crashesPerSecond,
            InjectedFault... all) {
        List<String> over = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, routers, workers, all);
            simulation.advance(TIME, perSecond, crashesPerSecond, 1.2);
            if (simulation.lateSendsOfPoisonRequest() > ALLOWED) {
                over.add("seed " + seed + ": " + simulation.lateSendsOfPoisonRequest());
            }
            assertTrue(simulation.poisonRequestsRefused() > 0, "seed " + seed + ": never refused");
        }
        return over;
    }

    private static List<String> innocentsRefused(
            int routers,
            int workers,
            double perSecond,
            double crashesPerSecond,
            double poisonPerSecond,
            InjectedFault... all) {
        List<String> refused = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, routers, workers, all);
            simulation.advance(TIME, perSecond, crashesPerSecond, poisonPerSecond);
            if (simulation.innocentsRefused() > 0) {
                refused.add("seed " + seed + ": " + simulation.innocentsRefused());
            }
        }
        return refused;
    }
}
