package io.damaskyoke.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Listing;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FollowerTest {
    private static final PollTiming TIMING =
            new PollTiming(Duration.ofSeconds(1), Duration.ofMillis(200));

    private final TestControlThread control = new TestControlThread();
    private final ManualStore store = new ManualStore();
    private final List<Long> received = new ArrayList<>();
    private long poison;
    private Runnable failure =
            () -> {
                throw new IllegalStateException("on purpose");
            };
    private final Follower follower =
            Follower.of("test")
                    .under("k")
                    .in(store)
                    .at(TIMING)
                    .on(control)
                    .counting(new Metrics())
                    .build(new Revisions());

    // Guards against a lost answer that blocks all later changes.
    @Test
    void anOverdueCallIsFollowedByAParallelOne() {
        read(5);
        pass(TIMING.stalenessBound().plusMillis(100));
        assertEquals(2, store.polls.size());
        store.polls.get(1).complete(ManualStore.set(7));
        assertEquals(List.of(5L, 7L), received);
    }

    // Guards against changes delivered twice or out of order when two calls are answered in
    // reverse.
    @Test
    void aLateAnswerDeliversOnlyNewChanges() {
        read(5);
        pass(TIMING.stalenessBound().plusMillis(100));
        store.polls.get(1).complete(ManualStore.set(6, 7));
        store.polls.get(0).complete(ManualStore.set(6));
        assertEquals(List.of(5L, 6L, 7L), received);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(5L, 5L, 7L), store.polledAfter);
    }

    // Guards against a late answer that starts a second chain of calls and doubles the load.
    @Test
    void onlyTheAnswerToTheNewestCallTriggersTheNextCall() {
        read(5);
        pass(TIMING.stalenessBound().plusMillis(100));
        store.polls.get(0).complete(ManualStore.set(6));
        pass(Duration.ofMillis(250));
        assertEquals(2, store.polls.size());
        store.polls.get(1).complete(ManualStore.unchanged(6));
        pass(Duration.ofMillis(250));
        assertEquals(3, store.polls.size());
    }

    // Guards against adding load to a store that is slow already.
    @Test
    void callsToAStoreThatDoesNotAnswerAreLimited() {
        read(5);
        pass(Duration.ofMinutes(5));
        assertEquals(8, store.polls.size());
    }

    // Guards against a lost answer to the first full read, after which a router would never start.
    @Test
    void anOverdueFullReadIsFollowedByAParallelOne() {
        follower.start();
        pass(Duration.ofMillis(500));
        store.fullReads.get(1).complete(listing(5));
        store.fullReads.get(0).complete(listing(4));
        assertEquals(List.of(5L), received);
        assertEquals(List.of(5L), store.polledAfter);
    }

    // Guards against parallel reads of a long list, which take its time and memory many times over.
    @Test
    void aFullReadIsNotOverdueWhileItsPagesCome() {
        follower.start();
        for (int page = 0; page < 10; page++) {
            pass(Duration.ofMillis(300));
            store.pages.get(0).run();
        }
        assertEquals(1, store.fullReads.size());
        pass(Duration.ofMillis(500));
        assertEquals(2, store.fullReads.size());
    }

    // Guards against a call that waits after the VM was paused, which would delay for seconds the
    // changes made during the pause.
    @Test
    void anOutdatedAnswerIsFollowedByACallThatDoesNotWait() {
        read(5);
        pass(Duration.ofMillis(1_300));
        store.polls.get(0).complete(ManualStore.unchanged(5));
        pass(Duration.ofMillis(100));
        store.polls.get(1).complete(ManualStore.unchanged(5));
        assertEquals(List.of(TIMING.maxWait(), TIMING.maxWait()), store.waits);
        pass(Duration.ofSeconds(9));
        store.polls.get(2).complete(ManualStore.unchanged(5));
        assertEquals(Duration.ZERO, store.waits.get(store.waits.size() - 1));
    }

    // Guards against an exception of a listener that stops the follower for good.
    @Test
    void aListenerThatThrowsReceivesLaterChanges() {
        read(5);
        poison = 6;
        store.polls.get(0).complete(ManualStore.set(6));
        pass(Duration.ofMillis(200));
        store.polls.get(1).complete(ManualStore.set(7));
        assertEquals(List.of(5L, 7L), received);
    }

    // Guards against a change that is lost for good, as the store answered that nothing had changed
    // up to a revision past it.
    @Test
    void aChangeThatAnEarlierAnswerLeftOutIsReceived() {
        read(5);
        pass(TIMING.maxWait());
        store.polls.get(0).complete(ManualStore.unchanged(8));
        store.polls.get(1).complete(new Changes(ManualStore.set(7).changes(), 8));
        assertEquals(List.of(5L, 7L), received);
    }

    // Guards against a position that stays behind the history which an idle store keeps.
    @Test
    void thePositionMovesOnOnceLaterAnswersHaveConfirmedIt() {
        read(5);
        for (int each = 0; each < 8; each++) {
            pass(TIMING.maxWait());
            store.polls.get(each).complete(ManualStore.unchanged(10 + each));
        }
        assertEquals(5L, store.polledAfter.get(5));
        assertEquals(10L, store.polledAfter.get(8));
    }

    // Guards against a change that no answer tells, and that would be unknown for good.
    @Test
    void aChangeThatNoAnswerTellsIsFoundByAComparison() {
        read(5);
        passUntilListed(9);
        store.fullReads.get(1).complete(new Listing(List.of(ManualStore.entry("k", 7)), 8));
        passUnchanged(Duration.ofSeconds(1), 9);
        store.fullReads.get(2).complete(new Listing(List.of(ManualStore.entry("k", 7)), 9));
        assertEquals(List.of(5L, 9L), received);
    }

    // Guards against full reads that listings cause which are older than the view.
    @Test
    void aListingThatIsOlderThanTheViewIsNoReasonForAFullRead() {
        read(5);
        store.polls.get(0).complete(ManualStore.set(7));
        passUntilListed(9);
        store.fullReads.get(1).complete(listing(5));
        passUnchanged(Duration.ofSeconds(1), 9);
        assertEquals(2, store.fullReads.size());
    }

    // Guards against full reads for changes that are still on their way in an answer.
    @Test
    void aListingThatIsNewerThanTheViewIsNoReasonForAFullRead() {
        read(5);
        passUntilListed(9);
        store.fullReads.get(1).complete(listing(20));
        pass(Duration.ofMillis(200));
        newestPoll().complete(ManualStore.set(20));
        passUnchanged(Duration.ofSeconds(1), 20);
        assertEquals(2, store.fullReads.size());
    }

    // Guards against processes behind this one that all ask the store after a full read here.
    @Test
    void whatAFullReadFindsIsPassedOnToOthers() {
        read(5);
        newestPoll()
                .completeExceptionally(new PlatformException(Code.COMPACTED, "history is gone"));
        store.fullReads.get(1).complete(new Listing(List.of(ManualStore.entry("k", 7)), 8));
        List<Changes> answers = new ArrayList<>();
        follower.answerPoll(5, Duration.ofSeconds(1), answer -> answer.ifPresent(answers::add));
        assertEquals(1, answers.size());
        assertEquals("k", answers.get(0).changes().get(0).key());
    }

    // Guards against the time of a change that is taken for later than it was, as an earlier answer
    // left the change out.
    @Test
    void aChangeThatAnEarlierAnswerLeftOutMayBeOlderThanThatAnswer() {
        read(5);
        pass(TIMING.maxWait());
        store.polls.get(0).complete(ManualStore.unchanged(8));
        Instant answered = now();
        store.polls.get(1).complete(new Changes(ManualStore.set(7).changes(), 8));
        assertTrue(follower.earliestChangeTime().isBefore(answered.minusSeconds(1)));
    }

    // Guards against a change that a listener can't process and that hides those that came with it.
    @Test
    void aListenerThatThrowsReceivesTheOtherChangesOfTheAnswer() {
        read(5);
        poison = 7;
        store.polls.get(0).complete(ManualStore.set(6, 7));
        assertEquals(List.of(5L, 6L), received);
    }

    // Guards against changes that are lost behind one that overflows the listener's stack.
    @Test
    void aListenerWhoseStackOverflowsReceivesTheOtherChangesOfTheAnswer() {
        read(5);
        poison = 7;
        failure = FollowerTest::overflow;
        store.polls.get(0).complete(ManualStore.set(6, 7));
        assertEquals(List.of(5L, 6L), received);
    }

    private static void overflow() {
        overflow();
    }

    // Guards against changes that are gone, or that no answer has room for, and that are asked for
    // again and again.
    @ParameterizedTest
    @EnumSource(
            value = Code.class,
            names = {"COMPACTED", "TOO_LARGE"})
    void allEntriesAreReadAgainIfTheChangesCanNeverBeAnswered(Code code) {
        read(5);
        store.polls.get(0).completeExceptionally(new PlatformException(code, "never"));
        store.fullReads.get(1).complete(listing(9));
        assertEquals(List.of(5L, 9L), received);
        assertEquals(List.of(5L, 9L), store.polledAfter);
    }

    @Test
    void theAgeIsCountedFromWhenTheLastAnswerWasComplete() {
        assertEquals(Optional.empty(), follower.age());
        read(5);
        pass(Duration.ofMillis(300));
        assertEquals(Optional.of(Duration.ofMillis(300)), follower.age());
        // An answer with changes is complete only up to the time at which it was asked for.
        store.polls.get(0).complete(ManualStore.set(6));
        assertEquals(Optional.of(Duration.ofMillis(300)), follower.age());
    }

    @Test
    void aWaiterIsCalledBackOnceTheStoreHasConfirmedTheView() {
        read(5);
        pass(Duration.ofMillis(300));
        List<Boolean> callbacks = new ArrayList<>();
        follower.whenCompleteUpTo(now().minusMillis(300), Duration.ofMillis(400), callbacks::add);
        assertEquals(List.of(true), callbacks);
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), callbacks::add);
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), callbacks::add);
        assertEquals(2, store.polls.size());
        store.polls.get(1).complete(ManualStore.set(6));
        assertEquals(List.of(5L, 6L), received);
        assertEquals(List.of(true, true, true), callbacks);
    }

    // Guards against a caller that waits for as long as an outage of the store lasts.
    @Test
    void aWaiterIsCalledBackWithFalseAtItsLimit() {
        read(5);
        pass(Duration.ofMillis(300));
        List<Boolean> callbacks = new ArrayList<>();
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), callbacks::add);
        pass(Duration.ofMillis(400));
        assertEquals(List.of(false), callbacks);
        store.polls.get(1).complete(ManualStore.unchanged(5));
        assertEquals(List.of(false), callbacks);
    }

    // Guards against serving a waiter by an answer to a call that was sent before it arrived.
    @Test
    void aWaiterThatArrivesDuringACallIsServedByTheNextOne() {
        read(5);
        pass(Duration.ofMillis(300));
        List<Boolean> callbacks = new ArrayList<>();
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), callbacks::add);
        pass(Duration.ofMillis(5));
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), callbacks::add);
        store.polls.get(1).complete(ManualStore.unchanged(5));
        assertEquals(List.of(true), callbacks);
        store.polls.get(2).complete(ManualStore.unchanged(5));
        assertEquals(List.of(true, true), callbacks);
    }

    @Test
    void anEmptyAnswerAfterItsWaitIsCompleteUpToTheEndOfTheWait() {
        read(5);
        pass(TIMING.maxWait().plusMillis(5));
        store.polls.get(0).complete(ManualStore.unchanged(8));
        assertEquals(Optional.of(Duration.ofMillis(5)), follower.age());
    }

    private void read(long revision) {
        follower.start();
        store.fullReads.get(0).complete(listing(revision));
    }

    // Lets time pass, in which the store answers that nothing has changed.
    private void passUnchanged(Duration duration, long revision) {
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            pass(Duration.ofMillis(200));
            newestPoll().complete(ManualStore.unchanged(revision));
        }
    }

    private void passUntilListed(long revision) {
        Instant latest = now().plus(ViewComparison.MIN_INTERVAL.multipliedBy(2));
        int before = store.fullReads.size();
        while (store.fullReads.size() == before && now().isBefore(latest)) {
            passUnchanged(Duration.ofMillis(200), revision);
        }
    }

    private CompletableFuture<Changes> newestPoll() {
        return store.polls.get(store.polls.size() - 1);
    }

    private static Listing listing(long revision) {
        return new Listing(List.of(ManualStore.entry("k", revision)), revision);
    }

    private Instant now() {
        return control.clock().instant();
    }

    private void pass(Duration duration) {
        control.advance(duration);
    }

    /** Records the revisions that it receives, and fails at the poison revision. */
    private final class Revisions implements ChangeListener {
        @Override
        public void entriesRead(List<Entry> entries, long revision, Duration silence) {
            received.add(revision);
        }

        @Override
        public void entriesChanged(List<Change> changes, long revision, Duration silence) {
            if (revision == poison) {
                failure.run();
            }
            changes.forEach(change -> received.add(change.revision()));
        }
    }
}
