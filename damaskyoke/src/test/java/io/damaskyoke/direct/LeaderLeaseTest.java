package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.follow.PollTiming;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.FakeStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class LeaderLeaseTest {
    private static final PollTiming PACE = new PollTiming(Duration.ofMillis(2_500), Duration.ZERO);

    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore(control);
    private final List<String> events = new ArrayList<>();
    private final List<String> firsts = new ArrayList<>();

    @Test
    void onlyOneRouterAtATimeIsLeader() {
        LeaderLease one = router("one");
        LeaderLease two = router("two");
        advance(1_000);
        assertTrue(one.held());
        assertFalse(two.held());
        advance(20_000);
        assertTrue(one.held());
        assertEquals(List.of("one won"), events);
    }

    @Test
    void aStoppedLeaderIsReplacedAtOnceWithAHigherFencingToken() {
        LeaderLease one = router("one");
        LeaderLease two = router("two");
        advance(1_000);
        long first = one.fencing();
        one.close();
        assertFalse(one.held());
        advance(400);
        assertTrue(two.held());
        assertTrue(two.fencing() > first, two.fencing() + " after " + first);
    }

    @Test
    void aPartitionedLeaderStopsBeforeItsLeaseCanHaveExpired() {
        // The store rejects the leader. Its lease expires 2.4 s after the last renewal, and another
        // router may be elected from then on; the leader must have stopped by its own clock.
        LeaderLease one = router("one");
        advance(1_000);
        store.down(true);
        advance(2_300);
        assertFalse(one.held());
        assertEquals(List.of("one won", "one lost"), events);
    }

    @Test
    void aLeaderWhoseLeaseExpiredInAnOutageLeadsAgainOnceTheStoreIsBack() {
        // The store's clock stops during an outage of four seconds, so the leader's entry still
        // exists afterwards and nobody else can be elected. If the leader paused for the sake of
        // other candidates, nothing would be loaded for five more seconds.
        LeaderLease one = router("one");
        LeaderLease two = router("two");
        advance(1_000);
        store.down(true);
        advance(4_000);
        assertFalse(one.held());
        store.down(false);
        advance(2_000);
        assertTrue(one.held());
        assertFalse(two.held());
        assertEquals(List.of("one won", "one lost", "one won"), events);
    }

    @Test
    void aLeaderThatStopsInAnOutageRevokesItsLeaseAfterIt() {
        // The leader stops while the store is down and can't revoke its lease. Without a retry, its
        // entry would remain for the whole term once the store is back, with no leader.
        LeaderLease one = router("one");
        LeaderLease two = router("two");
        advance(1_000);
        store.down(true);
        one.close();
        advance(1_000);
        store.down(false);
        advance(1_500);
        assertTrue(two.held());
    }

    // Guards against a leader that reckons with no order of those before it, as it takes itself for
    // the first one.
    @Test
    void onlyTheFirstLeaderOfAFleetFollowsNobody() {
        LeaderLease one = router("one");
        advance(1_000);
        one.close();
        advance(5_000);
        LeaderLease oneAgain = router("one");
        advance(6_000);
        assertTrue(oneAgain.held());
        oneAgain.close();
        advance(5_000);
        LeaderLease two = router("two");
        advance(6_000);
        assertTrue(two.held());
        assertEquals(List.of("one"), firsts);
    }

    @Test
    void aRouterThatResignedLetsOthersBeElectedFirst() {
        // A slow leader resigns and there is no other router. Elected again at once, it would
        // resign at its next slow tick; with another router, the two would alternate.
        LeaderLease one = router("one");
        advance(1_000);
        one.resign("slow");
        advance(4_000);
        assertFalse(one.held());
        advance(2_000);
        assertTrue(one.held());
    }

    @Test
    void aSecondResignationDoesNotAffectTheNextLeader() {
        LeaderLease one = router("one");
        LeaderLease two = router("two");
        advance(1_000);
        one.resign("slow");
        advance(400);
        assertTrue(two.held());
        one.resign("still slow");
        advance(3_000);
        assertTrue(two.held());
    }

    @Test
    void aRestartedLeaderReplacesItsOwnEntry() {
        // All routers are killed and start again. The leader's entry remains for two more seconds,
        // under the lease of its earlier incarnation; the next one must not wait for its expiry.
        router("one");
        advance(1_000);
        events.clear();
        LeaderLease again = router("one");
        advance(600);
        assertTrue(again.held());
        assertEquals(List.of("one won"), events);
    }

    @Test
    void twoSimultaneousCandidatesAreNotBothElected() {
        // Both see that there is no leader and request a lease each. The store is slow; when it
        // continues, one writes its entry, and the other learns of that before it sends its own
        // write.
        LeaderLease one = router("one");
        LeaderLease two = router("two");
        store.slow(true);
        advance(200);
        store.release();
        advance(1_000);
        assertTrue(one.held() ^ two.held());
        assertEquals(1, events.size(), events.toString());
    }

    private LeaderLease router(String name) {
        VmId vm = VmId.of(name);
        Membership members =
                new Membership(
                        control,
                        store,
                        "p",
                        new RouterEntry(vm, "a", "127.0.0.1", 1, OptionalDouble.empty()),
                        PACE,
                        Relay.none(),
                        new Metrics());
        members.start(() -> {});
        LeaderLease lease =
                new LeaderLease(
                        control, store, members, vm, new EventLoopLag(Duration.ofMillis(50)));
        lease.start(
                new LeaderLease.Listener() {
                    @Override
                    public void won(boolean mayFollowOthers) {
                        events.add(name + " won");
                        if (!mayFollowOthers) {
                            firsts.add(name);
                        }
                    }

                    @Override
                    public void lost() {
                        events.add(name + " lost");
                    }
                });
        return lease;
    }

    private void advance(long millis) {
        control.advance(Duration.ofMillis(millis));
    }
}
