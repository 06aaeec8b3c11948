package io.damaskyoke.control.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.FakeStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class PollingPlacementFeedTest {
    private static final int SECONDS = 60;

    private final TestControlThread control = new TestControlThread();
    private final FakeStore fake = new FakeStore();
    private final PlacementStore store = new PlacementStore(fake, "t");
    private final List<PlacementTable> received = new ArrayList<>();

    @Test
    void aSmallFleetReadsOncePerSecond() {
        int reads = readsPerSecond(20);
        assertTrue(reads >= 15 && reads <= 22, reads + " reads a second");
    }

    @Test
    void aFleetOfTheDesignSizeThatReadsEachSecondExceedsTheStoreLimit() {
        assertTrue(readsPerSecond(2_780, seed -> () -> PollingInterval.SHORTEST) > 2_000);
    }

    @Test
    void aFleetOfTheDesignSizeStaysWithinTheReadLimit() {
        // Guards against an interval that ignores the fleet's size: 380 routers and 2,400 agents
        // that read each second read 2,780 times a second, and the store refuses the reads that
        // requests and configuration need.
        int reads = readsPerSecond(2_780);
        assertTrue(
                reads > 0 && reads <= PollingInterval.MAX_READS_PER_SECOND,
                reads + " reads a second");
    }

    @Test
    void aSuspicionIsReadThreeTimesBeforeTheGrantMayBeRevokedInAFleetOfAnySize() {
        // Guards against an agent that reads too seldom to find that it is suspected: its grant is
        // revoked and the model is loaded elsewhere while it still holds it.
        PollingInterval interval = new PollingInterval(new Random(1));
        for (int i = 0; i < 1_000; i++) {
            assertTrue(interval.next(1_000_000).multipliedBy(3).toMillis() < 15_000);
        }
    }

    @Test
    void aWrittenShardIsReceivedAndAnUnchangedTableIsNotReadAgain() {
        feed(pause(20, 1));
        grant();
        control.advance(Duration.ofSeconds(2));
        assertEquals(1, last().allGrants().count());
        int before = fake.calls();
        int previousReads = received.size();
        control.advance(Duration.ofSeconds(10));
        assertEquals(received.size() - previousReads, fake.calls() - before);
    }

    @Test
    void aFailedReadKeepsTheTableAndTheNextReadUpdatesIt() {
        feed(pause(20, 1));
        fake.down(true);
        control.advance(Duration.ofSeconds(3));
        fake.down(false);
        grant();
        control.advance(Duration.ofSeconds(2));
        assertEquals(1, last().allGrants().count());
    }

    private int readsPerSecond(int processes) {
        return readsPerSecond(processes, seed -> pause(processes, seed));
    }

    private int readsPerSecond(int processes, LongFunction<Supplier<Duration>> pause) {
        for (int i = 0; i < processes; i++) {
            feed(pause.apply(i));
        }
        int before = fake.calls();
        control.advance(Duration.ofSeconds(SECONDS));
        int reads = (fake.calls() - before) / SECONDS;
        System.out.println(processes + " processes: " + reads + " reads a second");
        return reads;
    }

    private static Supplier<Duration> pause(int processes, long seed) {
        PollingInterval interval = new PollingInterval(new Random(seed));
        return () -> interval.next(processes);
    }

    private void feed(Supplier<Duration> pause) {
        new PollingPlacementFeed(control, store, pause, new Metrics()).start(received::add);
    }

    private void grant() {
        PlacementTable.Stored read = new PlacementTable.Stored(Shard.EMPTY, 0);
        ReplicaGrant grant = ReplicaGrant.of(ModelName.of("cut"), VmId.of("one"), 1);
        PlacementPlanner.Proposal proposal =
                new PlacementPlanner.Proposal(0, read.shard(), new Shard(1, List.of(grant)), 0);
        store.applyProposal(proposal, ShardTransitionTest.configuration(1));
    }

    private PlacementTable last() {
        return received.get(received.size() - 1);
    }
}
