package io.damaskyoke.control.configuration;

import static io.damaskyoke.control.configuration.SampleTickets.keyTicketJson;
import static io.damaskyoke.control.configuration.SampleTickets.model;
import static io.damaskyoke.control.configuration.SampleTickets.ticket;
import static io.damaskyoke.control.configuration.SampleTickets.workspace;
import static io.damaskyoke.control.configuration.SampleTickets.workspaceRemoval;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.configuration.TicketException.Code;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.timeline.Event;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConfigurationServiceTest {
    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore();
    private final Timeline timeline =
            Timeline.of("router-1", HybridClock.over(control.clock()), 1_000);
    private final ConfigurationService here = service();
    private final ConfigurationService there = service();

    @Test
    void anAcceptedTicketIsInForceEverywhereAndOnTheTimeline() {
        here.start();
        there.start();
        assertEquals(1, accepted(here, workspace(7, "a", 10)).sequence());
        assertEquals(10, there.current().workspaces().get(WorkspaceId.of("a")).rate());
        assertEquals(
                List.of(EventType.TICKET_ACCEPTED, EventType.IN_FORCE),
                timeline.events().stream().map(Event::type).distinct().sorted().toList());
    }

    @Test
    void theSameTicketSentAgainIsAcceptedOnceAndItsNumberIsNotGivenToAnother() {
        here.start();
        there.start();
        accepted(here, workspace(7, "a", 10));
        assertEquals(1, accepted(there, workspace(7, "a", 10)).sequence());
        assertEquals(Code.NUMBER_REUSED, refused(there, workspace(7, "b", 10)).code());
    }

    @Test
    void anOlderTicketForTheSameObjectIsRefusedButForAnotherItIsNot() {
        here.start();
        accepted(here, workspace(7, "a", 10));
        assertEquals(Code.OUTDATED, refused(here, workspace(6, "a", 99)).code());
        assertEquals(2, accepted(here, workspace(5, "b", 10)).sequence());
    }

    @Test
    void aTicketThatTouchesWhatDoesNotExistIsRefused() {
        here.start();
        accepted(here, workspace(1, "a", 10));
        accepted(here, ticket(keyTicketJson(2, "k", "a", "sk-1", "granted")));
        accepted(here, model(3, "base", ""));
        accepted(here, model(4, "adapter", "base"));
        assertEquals(
                Code.UNKNOWN_OBJECT,
                refused(here, ticket(keyTicketJson(9, "l", "nobody", "sk-2", "granted"))).code());
        assertEquals(Code.UNKNOWN_OBJECT, refused(here, model(9, "x", "none")).code());
        assertEquals(Code.BAD_VALUE, refused(here, model(9, "x", "adapter")).code());
        assertEquals(Code.UNKNOWN_OBJECT, refused(here, workspaceRemoval(9, "z")).code());
        assertEquals(Code.IN_USE, refused(here, workspaceRemoval(9, "a")).code());
        assertEquals(
                Code.KEY_TAKEN,
                refused(here, ticket(keyTicketJson(9, "l", "a", "sk-1", "granted"))).code());
        assertEquals(4, here.current().sequence());
    }

    /**
     * Guards against a ticket that is written after its validation went stale. The other router's
     * ticket removes the workspace between the validation and the write here; the write fails, and
     * the ticket must be validated again and refused.
     */
    @Test
    void theLoserOfARaceIsJudgedAgainstWhatTheWinnerLeft() {
        here.start();
        there.start();
        accepted(here, workspace(1, "a", 10));
        store.silenceWatches(true);
        accepted(there, workspaceRemoval(2, "a"));
        TicketResult.Refused refusal =
                refused(here, ticket(keyTicketJson(3, "k", "a", "sk", "granted")));
        assertEquals(Code.UNKNOWN_OBJECT, refusal.code());
        assertEquals(2, here.current().sequence());
    }

    /**
     * Guards against refusing a ticket whose write took effect while the store's answer was lost.
     * The log is read again and holds the ticket with its digest.
     */
    @Test
    void aTicketWhoseAnswerWasLostIsAcceptedOnce() {
        here.start();
        store.loseAnswers(1);
        var result = here.submit(workspace(1, "a", 10)).toCompletableFuture();
        control.advance(Duration.ofSeconds(5));
        assertTrue(result.join() instanceof TicketResult.Accepted, result.join().toString());
        assertEquals(1, here.current().sequence());
    }

    /**
     * Guards against reporting an unknown outcome when no write was sent: the store is down from
     * the start, and the attempts are bounded.
     */
    @Test
    void inAnOutageATicketIsRefusedAndSurelyNotInForce() {
        store.down(true);
        here.start();
        var result = here.submit(workspace(1, "a", 10)).toCompletableFuture();
        control.advance(Duration.ofMinutes(1));
        TicketResult.Refused refusal = (TicketResult.Refused) result.join();
        assertEquals(Code.STORE_UNAVAILABLE, refusal.code());
        assertTrue(refusal.outcomeKnown());
    }

    /**
     * Guards against reporting a ticket as not accepted when it may be. The answer to the write is
     * lost, and the store goes down before the log can be read; the ticket is in fact in the log.
     */
    @Test
    void anAnswerLostBeforeAnOutageIsSaidToBeUnknown() {
        here.start();
        store.silenceWatches(true).loseAnswers(1);
        var result = here.submit(workspace(1, "a", 10)).toCompletableFuture();
        store.down(true);
        control.advance(Duration.ofMinutes(1));
        TicketResult.Refused refusal = (TicketResult.Refused) result.join();
        assertEquals(Code.OUTCOME_UNKNOWN, refusal.code());
        assertFalse(refusal.outcomeKnown());
        store.down(false);
        assertEquals(1, accepted(here, workspace(1, "a", 10)).sequence());
    }

    /**
     * Guards against refusing a ticket that is already applied. The answer to the write is lost and
     * the store goes down, but the watch delivered the entry before; it must count although the
     * submission did not read it itself.
     */
    @Test
    void anAnswerLostBeforeAnOutageIsMadeUpForByTheWatch() {
        here.start();
        store.loseAnswers(1);
        var result = here.submit(workspace(1, "a", 10)).toCompletableFuture();
        store.down(true);
        control.advance(Duration.ofMinutes(1));
        assertTrue(result.join() instanceof TicketResult.Accepted, result.join().toString());
    }

    @Test
    void afterAnOutageTheLogIsListedAndWatchedAgain() {
        here.start();
        there.start();
        store.down(true);
        control.advance(Duration.ofMinutes(1));
        assertFalse(here.isConfirmed(Duration.ofSeconds(30)));
        store.down(false);
        control.advance(Duration.ofMinutes(1));
        assertTrue(here.isConfirmed(Duration.ofSeconds(30)));
        accepted(there, workspace(1, "a", 10));
        assertEquals(1, here.current().sequence());
    }

    /**
     * Guards against a configuration that stays outdated while the watch is open but delivers
     * nothing, for example behind a switch that drops packets. The poll finds the entry and reopens
     * the watch.
     */
    @Test
    void aSilentWatchDelaysAConfigurationByOnePollAtMost() {
        here.start();
        there.start();
        store.silenceWatches(true);
        accepted(there, workspace(1, "a", 10));
        assertEquals(0, here.current().sequence());
        control.advance(Duration.ofSeconds(5));
        assertEquals(1, here.current().sequence());
        assertEquals(2, store.openWatches());
    }

    /**
     * Guards against polling a store every 200 ms for good. The store lists but refuses watches;
     * each refusal causes a listing, whose success must not reset the backoff.
     */
    @Test
    void aStoreThatRefusesWatchesIsAskedLessAndLessOften() {
        store.refuseWatches(true);
        here.start();
        control.advance(Duration.ofMinutes(2));
        assertTrue(store.calls() < 60, "calls in two minutes: " + store.calls());
        store.refuseWatches(false);
        control.advance(Duration.ofSeconds(20));
        assertEquals(1, store.openWatches());
    }

    @Test
    void aListenerThatThrowsKeepsNobodyElseFromTheNews() {
        StringBuilder heard = new StringBuilder();
        here.onChange(
                        newest -> {
                            throw new IllegalStateException("on purpose");
                        })
                .onChange(newest -> heard.append(newest.sequence()))
                .start();
        accepted(here, workspace(1, "a", 10));
        accepted(here, workspace(2, "b", 10));
        assertEquals("12", heard.toString());
    }

    @Test
    void aLateStarterReadsALogOfManyPages() {
        here.start();
        for (int number = 1; number <= 3 * ConfigurationLog.PAGE; number++) {
            accepted(here, workspace(number, "a", number));
        }
        there.start();
        assertEquals(3 * ConfigurationLog.PAGE, there.current().sequence());
        assertTrue(there.isConfirmed(Duration.ZERO));
    }

    private ConfigurationService service() {
        return ConfigurationService.builder(control, store, timeline)
                .random(new SplittableRandom(1))
                .build();
    }

    private static TicketResult.Accepted accepted(ConfigurationService service, Ticket ticket) {
        return (TicketResult.Accepted) service.submit(ticket).toCompletableFuture().join();
    }

    private static TicketResult.Refused refused(ConfigurationService service, Ticket ticket) {
        return (TicketResult.Refused) service.submit(ticket).toCompletableFuture().join();
    }
}
