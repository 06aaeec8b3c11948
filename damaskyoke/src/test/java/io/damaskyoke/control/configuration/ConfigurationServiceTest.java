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
    private final ConfigurationService first = service();
    private final ConfigurationService second = service();

    @Test
    void anAcceptedTicketIsAppliedAtEveryRouterAndRecordedOnTheTimeline() {
        first.start();
        second.start();
        assertEquals(1, accepted(first, workspace(7, "a", 10)).sequence());
        assertEquals(10, second.current().workspaces().get(WorkspaceId.of("a")).rate());
        assertEquals(
                List.of(EventType.TICKET_ACCEPTED, EventType.IN_FORCE),
                timeline.events().stream().map(Event::type).distinct().sorted().toList());
    }

    @Test
    void aRepeatedTicketIsAcceptedOnceAndItsNumberCannotBeReused() {
        first.start();
        second.start();
        accepted(first, workspace(7, "a", 10));
        assertEquals(1, accepted(second, workspace(7, "a", 10)).sequence());
        assertEquals(Code.NUMBER_REUSED, refused(second, workspace(7, "b", 10)).code());
    }

    @Test
    void anOlderTicketIsRefusedForTheSameObjectAndAcceptedForAnother() {
        first.start();
        accepted(first, workspace(7, "a", 10));
        assertEquals(Code.OUTDATED, refused(first, workspace(6, "a", 99)).code());
        assertEquals(2, accepted(first, workspace(5, "b", 10)).sequence());
    }

    @Test
    void aTicketWithAnInvalidReferenceIsRefused() {
        first.start();
        accepted(first, workspace(1, "a", 10));
        accepted(first, ticket(keyTicketJson(2, "k", "a", "sk-1", "granted")));
        accepted(first, model(3, "base", ""));
        accepted(first, model(4, "adapter", "base"));
        assertEquals(
                Code.UNKNOWN_OBJECT,
                refused(first, ticket(keyTicketJson(9, "l", "nobody", "sk-2", "granted"))).code());
        assertEquals(Code.UNKNOWN_OBJECT, refused(first, model(9, "x", "none")).code());
        assertEquals(Code.BAD_VALUE, refused(first, model(9, "x", "adapter")).code());
        assertEquals(Code.UNKNOWN_OBJECT, refused(first, workspaceRemoval(9, "z")).code());
        assertEquals(Code.IN_USE, refused(first, workspaceRemoval(9, "a")).code());
        assertEquals(
                Code.KEY_TAKEN,
                refused(first, ticket(keyTicketJson(9, "l", "a", "sk-1", "granted"))).code());
        assertEquals(4, first.current().sequence());
    }

    /**
     * Guards against a ticket that is written after its validation went stale. The other router's
     * ticket removes the workspace between the validation and the write; the write fails, and the
     * ticket must be validated again and refused.
     */
    @Test
    void theLoserOfARaceIsValidatedAgainstTheWinnersConfiguration() {
        first.start();
        second.start();
        accepted(first, workspace(1, "a", 10));
        store.silenceWatches(true);
        accepted(second, workspaceRemoval(2, "a"));
        TicketResult.Refused refusal =
                refused(first, ticket(keyTicketJson(3, "k", "a", "sk", "granted")));
        assertEquals(Code.UNKNOWN_OBJECT, refusal.code());
        assertEquals(2, first.current().sequence());
    }

    /**
     * Guards against refusing a ticket whose write took effect while the store's answer was lost.
     * The log is read again and holds the ticket with its digest.
     */
    @Test
    void aTicketWhoseAnswerWasLostIsAcceptedOnce() {
        first.start();
        store.loseAnswers(1);
        var result = first.submit(workspace(1, "a", 10)).toCompletableFuture();
        control.advance(Duration.ofSeconds(5));
        assertTrue(result.join() instanceof TicketResult.Accepted, result.join().toString());
        assertEquals(1, first.current().sequence());
    }

    /**
     * Guards against reporting an unknown outcome when no write was sent: the store is down from
     * the start, and the attempts are bounded.
     */
    @Test
    void inAnOutageATicketIsRefusedWithAKnownOutcome() {
        store.down(true);
        first.start();
        var result = first.submit(workspace(1, "a", 10)).toCompletableFuture();
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
    void anAnswerLostBeforeAnOutageIsReportedAsUnknownOutcome() {
        first.start();
        store.silenceWatches(true).loseAnswers(1);
        var result = first.submit(workspace(1, "a", 10)).toCompletableFuture();
        store.down(true);
        control.advance(Duration.ofMinutes(1));
        TicketResult.Refused refusal = (TicketResult.Refused) result.join();
        assertEquals(Code.OUTCOME_UNKNOWN, refusal.code());
        assertFalse(refusal.outcomeKnown());
        store.down(false);
        assertEquals(1, accepted(first, workspace(1, "a", 10)).sequence());
    }

    /**
     * Guards against refusing a ticket that is already applied. The answer to the write is lost and
     * the store goes down, but the watch delivered the entry before; it must count although the
     * submission did not read it itself.
     */
    @Test
    void anAnswerLostBeforeAnOutageIsReplacedByTheWatchedEntry() {
        first.start();
        store.loseAnswers(1);
        var result = first.submit(workspace(1, "a", 10)).toCompletableFuture();
        store.down(true);
        control.advance(Duration.ofMinutes(1));
        assertTrue(result.join() instanceof TicketResult.Accepted, result.join().toString());
    }

    @Test
    void afterAnOutageTheLogIsListedAndWatchedAgain() {
        first.start();
        second.start();
        store.down(true);
        control.advance(Duration.ofMinutes(1));
        assertFalse(first.isConfirmed(Duration.ofSeconds(30)));
        store.down(false);
        control.advance(Duration.ofMinutes(1));
        assertTrue(first.isConfirmed(Duration.ofSeconds(30)));
        accepted(second, workspace(1, "a", 10));
        assertEquals(1, first.current().sequence());
    }

    /**
     * Guards against a configuration that stays outdated while the watch is open but delivers
     * nothing, for example behind a switch that drops packets. The poll finds the entry and reopens
     * the watch.
     */
    @Test
    void aSilentWatchDelaysAConfigurationByAtMostOnePoll() {
        first.start();
        second.start();
        store.silenceWatches(true);
        accepted(second, workspace(1, "a", 10));
        assertEquals(0, first.current().sequence());
        control.advance(Duration.ofSeconds(5));
        assertEquals(1, first.current().sequence());
        assertEquals(2, store.openWatches());
    }

    /**
     * Guards against polling a store every 200 ms for good. The store lists but refuses watches;
     * each refusal causes a listing, whose success must not reset the backoff.
     */
    @Test
    void aStoreThatRefusesWatchesIsReadWithIncreasingBackoff() {
        store.refuseWatches(true);
        first.start();
        control.advance(Duration.ofMinutes(2));
        assertTrue(store.calls() < 60, "calls in two minutes: " + store.calls());
        store.refuseWatches(false);
        control.advance(Duration.ofSeconds(20));
        assertEquals(1, store.openWatches());
    }

    @Test
    void aListenerThatThrowsDoesNotBlockTheOthers() {
        StringBuilder notified = new StringBuilder();
        first.onChange(
                        newest -> {
                            throw new IllegalStateException("on purpose");
                        })
                .onChange(newest -> notified.append(newest.sequence()))
                .start();
        accepted(first, workspace(1, "a", 10));
        accepted(first, workspace(2, "b", 10));
        assertEquals("12", notified.toString());
    }

    @Test
    void aProcessThatStartsLateReadsALogOfManyPages() {
        first.start();
        for (int number = 1; number <= 3 * ConfigurationLog.PAGE_ENTRIES; number++) {
            accepted(first, workspace(number, "a", number));
        }
        second.start();
        assertEquals(3 * ConfigurationLog.PAGE_ENTRIES, second.current().sequence());
        assertTrue(second.isConfirmed(Duration.ZERO));
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
