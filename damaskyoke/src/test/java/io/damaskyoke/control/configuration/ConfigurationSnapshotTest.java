package io.damaskyoke.control.configuration;

import static io.damaskyoke.control.configuration.SampleTickets.keyTicketJson;
import static io.damaskyoke.control.configuration.SampleTickets.model;
import static io.damaskyoke.control.configuration.SampleTickets.ticket;
import static io.damaskyoke.control.configuration.SampleTickets.workspace;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConfigurationSnapshotTest {
    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore();
    private final ConfigurationLog log = new ConfigurationLog(store, "/damaskyoke");
    private final ConfigurationService service = newService();

    @Test
    void aDecodedSnapshotEqualsTheEncodedOne() {
        service.start();
        submit(workspace(1, "a", 10));
        submit(ticket(keyTicketJson(2, "k", "a", "sk-1", "granted")));
        submit(model(3, "base", ""));
        submit(model(4, "adapter", "base"));
        ConfigurationSnapshot snapshot = service.snapshot();
        ConfigurationSnapshot read = ConfigurationSnapshot.decode(snapshot.encode());
        assertEquals(snapshot.configuration(), read.configuration());
        assertEquals(snapshot.history().find(3), read.history().find(3));
        assertArrayEquals(snapshot.encode(), read.encode());
    }

    @Test
    void aProcessThatStartsLateReadsTheSnapshotAndTheRestOfTheLog() {
        fill();
        assertTrue(log.read(1).toCompletableFuture().join().snapshot().isPresent());
        submit(workspace(5_000, "late", 1));
        ConfigurationService lateService = newService();
        lateService.start();
        assertEquals(service.current(), lateService.current());
        assertTrue(lateService.isConfirmed(Duration.ZERO));
    }

    @Test
    void aRepeatedTicketIsRecognizedAfterItsEntryWasTruncated() {
        fill();
        ConfigurationService lateService = newService();
        TicketResult again = lateService.submit(workspace(3, "a", 3)).toCompletableFuture().join();
        assertEquals(3, ((TicketResult.Accepted) again).sequence());
    }

    /**
     * Guards against reusing a sequence number whose entry was truncated. A process that was paused
     * at entry 10 attempts entry 11, which was accepted and removed. The naive version only
     * requires that the entry is absent, so it succeeds and the ticket is applied nowhere.
     */
    @Test
    void aPausedProcessCannotReuseATruncatedSequenceNumber() {
        ConfigurationService paused = newService();
        paused.start();
        for (int number = 1; number <= 10; number++) {
            submit(paused, workspace(number, "a", number));
        }
        paused.stop();
        service.start();
        fillFrom(11);
        String removedKey = "/damaskyoke/config/log/%016d".formatted(11);
        assertFalse(log.create(11, new byte[0]).toCompletableFuture().join());
        TicketResult.Accepted accepted =
                (TicketResult.Accepted)
                        paused.submit(workspace(9_000, "b", 1)).toCompletableFuture().join();
        assertEquals(service.current().sequence(), accepted.sequence());
        assertTrue(naiveCreate(removedKey));
    }

    @Test
    void aPartlyWrittenSnapshotIsNotRead() {
        fill();
        ConfigurationSnapshot newest = service.snapshot();
        store.down(true);
        log.snapshots().write(newest);
        store.down(false);
        long sequence =
                log.snapshots().read().toCompletableFuture().join().orElseThrow().sequence();
        assertTrue(sequence <= newest.sequence());
    }

    private boolean naiveCreate(String key) {
        return store.commit(
                        List.of(new Condition.Absent(key)),
                        List.of(new Write.Put(key, new byte[0], 0)))
                .toCompletableFuture()
                .join()
                .committed();
    }

    private void fill() {
        service.start();
        fillFrom(1);
    }

    private void fillFrom(int first) {
        for (int number = first; number <= SnapshotWriter.INTERVAL_ENTRIES + 10; number++) {
            submit(workspace(number, "a", number));
        }
        control.advance(Duration.ofMinutes(1));
    }

    private void submit(Ticket ticket) {
        submit(service, ticket);
    }

    private static void submit(ConfigurationService to, Ticket ticket) {
        assertTrue(to.submit(ticket).toCompletableFuture().join() instanceof TicketResult.Accepted);
    }

    private ConfigurationService newService() {
        Timeline timeline = Timeline.of("router-1", HybridClock.over(control.clock()), 1_000);
        return ConfigurationService.builder(control, store, timeline)
                .random(new SplittableRandom(1))
                .build();
    }
}
