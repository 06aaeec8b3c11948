package io.damaskyoke.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Listing;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.PlatformException.Code;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FollowerTest {
    private static final PollTiming PACE =
            new PollTiming(Duration.ofSeconds(1), Duration.ofMillis(200));

    private final TestControlThread control = new TestControlThread();
    private final ManualStore store = new ManualStore();
    private final List<Long> heard = new ArrayList<>();
    private long poison;
    private final Follower follower =
            Follower.of("test")
                    .under("k")
                    .in(store)
                    .at(PACE)
                    .on(control)
                    .counting(new Metrics())
                    .build(new Revisions());

    // Guards against a lost answer that blocks all later changes.
    @Test
    void aCallThatIsNotAnsweredIsFollowedByOneBesideIt() {
        read(5);
        pass(PACE.stalenessBound().plusMillis(100));
        assertEquals(2, store.asks.size());
        store.asks.get(1).complete(ManualStore.set(7));
        assertEquals(List.of(5L, 7L), heard);
    }

    // Guards against changes delivered twice or out of order when two calls are answered in
    // reverse.
    @Test
    void anAnswerThatComesLateTellsOnlyWhatIsNew() {
        read(5);
        pass(PACE.stalenessBound().plusMillis(100));
        store.asks.get(1).complete(ManualStore.set(6, 7));
        store.asks.get(0).complete(ManualStore.set(6));
        assertEquals(List.of(5L, 6L, 7L), heard);
        pass(Duration.ofSeconds(1));
        assertEquals(List.of(5L, 5L, 7L), store.askedAfter);
    }

    // Guards against a late answer that starts a second chain of calls and doubles the load.
    @Test
    void onlyTheNewestCallLeadsToTheNext() {
        read(5);
        pass(PACE.stalenessBound().plusMillis(100));
        store.asks.get(0).complete(ManualStore.set(6));
        pass(Duration.ofMillis(250));
        assertEquals(2, store.asks.size());
        store.asks.get(1).complete(ManualStore.nothing(6));
        pass(Duration.ofMillis(250));
        assertEquals(3, store.asks.size());
    }

    // Guards against adding load to a store that is slow already.
    @Test
    void aStoreThatAnswersNothingIsNotFlooded() {
        read(5);
        pass(Duration.ofMinutes(5));
        assertEquals(8, store.asks.size());
    }

    // Guards against a lost answer to the first full read, after which a router would never start.
    @Test
    void aReadingThatIsNotAnsweredIsFollowedByOneBesideIt() {
        follower.start();
        pass(Duration.ofMillis(500));
        store.readings.get(1).complete(listing(5));
        store.readings.get(0).complete(listing(4));
        assertEquals(List.of(5L), heard);
        assertEquals(List.of(5L), store.askedAfter);
    }

    // Guards against a call that waits after the VM was paused, which would delay for seconds the
    // changes made during the pause.
    @Test
    void anAnswerThatIsOldWhenItComesIsFollowedByACallThatDoesNotWait() {
        read(5);
        pass(Duration.ofMillis(1_300));
        store.asks.get(0).complete(ManualStore.nothing(5));
        pass(Duration.ofMillis(100));
        store.asks.get(1).complete(ManualStore.nothing(5));
        assertEquals(List.of(PACE.patience(), PACE.patience()), store.waits);
        pass(Duration.ofSeconds(9));
        store.asks.get(2).complete(ManualStore.nothing(5));
        assertEquals(Duration.ZERO, store.waits.get(store.waits.size() - 1));
    }

    // Guards against an exception of a listener that stops the follower for good.
    @Test
    void aListenerThatFailsIsToldTheRest() {
        read(5);
        poison = 6;
        store.asks.get(0).complete(ManualStore.set(6));
        pass(Duration.ofMillis(200));
        store.asks.get(1).complete(ManualStore.set(7));
        assertEquals(List.of(5L, 7L), heard);
    }

    @Test
    void aHistoryThatWasDroppedIsReadAnew() {
        read(5);
        store.asks.get(0).completeExceptionally(new PlatformException(Code.COMPACTED, "gone"));
        store.readings.get(1).complete(listing(9));
        assertEquals(List.of(5L, 9L), heard);
        assertEquals(List.of(5L, 9L), store.askedAfter);
    }

    @Test
    void theAgeIsThatOfTheLastAnswer() {
        assertEquals(Optional.empty(), follower.age());
        read(5);
        pass(Duration.ofMillis(300));
        assertEquals(Optional.of(Duration.ofMillis(300)), follower.age());
        // An answer with changes is complete only up to the time at which it was asked for.
        store.asks.get(0).complete(ManualStore.set(6));
        assertEquals(Optional.of(Duration.ofMillis(300)), follower.age());
    }

    @Test
    void whoNeedsToKnowIsToldOnceTheStoreHasSaidSo() {
        read(5);
        pass(Duration.ofMillis(300));
        List<Boolean> told = new ArrayList<>();
        follower.whenCompleteUpTo(now().minusMillis(300), Duration.ofMillis(400), told::add);
        assertEquals(List.of(true), told);
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), told::add);
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), told::add);
        assertEquals(2, store.asks.size());
        store.asks.get(1).complete(ManualStore.set(6));
        assertEquals(List.of(5L, 6L), heard);
        assertEquals(List.of(true, true, true), told);
    }

    // Guards against a caller that waits for as long as an outage of the store lasts.
    @Test
    void whoNeedsToKnowIsToldInTimeThatTheStoreDoesNotSay() {
        read(5);
        pass(Duration.ofMillis(300));
        List<Boolean> told = new ArrayList<>();
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), told::add);
        pass(Duration.ofMillis(400));
        assertEquals(List.of(false), told);
        store.asks.get(1).complete(ManualStore.nothing(5));
        assertEquals(List.of(false), told);
    }

    // Guards against serving a waiter by an answer to a call that was sent before it arrived.
    @Test
    void whoComesWhileAnAnswerIsUnderWayIsServedByTheNext() {
        read(5);
        pass(Duration.ofMillis(300));
        List<Boolean> told = new ArrayList<>();
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), told::add);
        pass(Duration.ofMillis(5));
        follower.whenCompleteUpTo(now(), Duration.ofMillis(400), told::add);
        store.asks.get(1).complete(ManualStore.nothing(5));
        assertEquals(List.of(true), told);
        store.asks.get(2).complete(ManualStore.nothing(5));
        assertEquals(List.of(true, true), told);
    }

    @Test
    void anEmptyAnswerAtTheEndOfItsWaitIsGoodUpToThen() {
        read(5);
        pass(PACE.patience().plusMillis(5));
        store.asks.get(0).complete(ManualStore.nothing(8));
        assertEquals(Optional.of(Duration.ofMillis(5)), follower.age());
    }

    private void read(long revision) {
        follower.start();
        store.readings.get(0).complete(listing(revision));
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
            heard.add(revision);
        }

        @Override
        public void entriesChanged(List<Change> changes, long revision, Duration silence) {
            if (revision == poison) {
                throw new IllegalStateException("on purpose");
            }
            changes.forEach(change -> heard.add(change.revision()));
        }
    }
}
