package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.PollTiming;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamFollowerTest {
    private static final PollTiming PACE = new PollTiming(Duration.ofMillis(2_500), Duration.ZERO);

    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore(control);
    private final UpstreamTable table = new UpstreamTable();
    private final List<String> events = new ArrayList<>();
    private final UpstreamFollower follower =
            new UpstreamFollower(
                    control, store, new TestDialect(), table, PACE, Relay.none(), new Metrics());

    @Test
    void additionsDrainsAndRemovalsAreReported() {
        start();
        put("i-1", "ready");
        put("i-1", "draining");
        remove("i-1");
        assertEquals(List.of("i-1 ready", "i-1 draining", "i-1 gone"), events);
    }

    @Test
    void anEntryThatExpiredInAnOutageIsKeptUntilItHadTimeToReturn() {
        // Guards against dropping upstreams whose entries expired in an outage of the store: they
        // answer all the while and write their entries again soon after, and a router that dropped
        // them at once would refuse all requests in between.
        start();
        put("i-1", "ready");
        put("i-2", "ready");
        store.down(true);
        pass(3_000);
        store.silenceWatches(true).down(false);
        remove("i-1");
        remove("i-2");
        store.silenceWatches(false);
        pass(500);
        assertEquals(2, table.all().size());
        put("i-1", "ready");
        pass(3_000);
        assertEquals(1, table.all().size());
        assertEquals("i-2 gone", events.get(events.size() - 1));
    }

    @Test
    void anUpstreamThatLeavesSoonAfterAnOutageIsDroppedAtOnce() {
        // Guards against keeping an upstream that leaves half a second after an outage like one
        // whose entry expired in it: it would get requests after its departure.
        start();
        put("i-1", "ready");
        store.down(true);
        pass(3_000);
        store.down(false);
        pass(500);
        put("i-2", "ready");
        remove("i-1");
        assertEquals("i-1 gone", events.get(events.size() - 1));
    }

    // Guards against dropping an upstream whose entry was removed and restored between answers.
    @Test
    void anEntryRemovedAndRestoredInOneAnswerStays() {
        start();
        put("i-1", "ready");
        put("i-2", "ready");
        store.down(true);
        pass(3_000);
        store.silenceWatches(true).down(false);
        remove("i-1");
        put("i-1", "ready");
        remove("i-2");
        store.silenceWatches(false);
        pass(5_000);
        assertEquals(
                List.of("i-1"),
                table.all().stream().map(each -> each.facts().id().value()).toList());
    }

    @Test
    void anUnreadableEntryLeavesTheOthersInUse() {
        start();
        put("i-1", "ready");
        put("i-9", "junk");
        assertEquals(1, table.all().size());
    }

    // Guards against one entry without a name that hides all upstreams that are read with it.
    @Test
    void aKeyWithoutANameHidesNoOtherUpstream() {
        put("", "ready");
        put("i-1", "ready");
        start();
        assertEquals(1, table.all().size());
    }

    // Guards against the end of a nameless entry that hides the changes that come with it.
    @Test
    void theEndOfANamelessEntryHidesNoOtherChange() {
        put("i-1", "ready");
        put("", "junk");
        start();
        store.silenceWatches(true);
        remove("");
        remove("i-1");
        put("i-2", "ready");
        store.silenceWatches(false);
        store.cutWatches();
        pass(1_000);
        assertEquals(List.of("i-1 ready", "i-1 gone", "i-2 ready"), events);
    }

    // Guards against ten thousand entries of another writer among which an upstream is not found.
    @Test
    void tenThousandOddEntriesHideNoUpstream() {
        for (int each = 0; each < 10_000; each++) {
            put("h-" + each, "junk");
        }
        put("i-1", "ready");
        start();
        put("h-10000", "junk");
        put("i-2", "ready");
        assertEquals(List.of("i-1 ready", "i-2 ready"), events);
    }

    @Test
    void aBrokenWatchReadsTheListAgain() {
        start();
        put("i-1", "ready");
        store.silenceWatches(true);
        put("i-2", "ready");
        store.silenceWatches(false);
        store.cutWatches();
        pass(1_000);
        assertEquals(2, table.all().size());
    }

    private void start() {
        follower.start(
                new UpstreamFollower.Listener() {
                    @Override
                    public void upstreamListed(UpstreamFacts facts) {
                        events.add(facts.id() + (facts.draining() ? " draining" : " ready"));
                    }

                    @Override
                    public void upstreamRemoved(UpstreamFacts last) {
                        events.add(last.id() + " gone");
                    }
                });
    }

    private void put(String id, String state) {
        byte[] value = state.getBytes(StandardCharsets.UTF_8);
        store.commit(List.of(), List.of(new Write.Put("up/" + id, value, 0)));
    }

    private void remove(String id) {
        store.commit(List.of(), List.of(new Write.Delete("up/" + id)));
    }

    private void pass(long millis) {
        control.advance(Duration.ofMillis(millis));
    }
}
