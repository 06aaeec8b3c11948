package io.damaskyoke.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.http.ClosedPort;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.WatchedStore.WatchListener;
import io.damaskyoke.timeline.Event;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class EtcdStoreTest {
    private static final byte[] VALUE = "v".getBytes(StandardCharsets.UTF_8);
    private static ActorSystem system;

    private final Metrics metrics = new Metrics();
    private final Timeline timeline =
            Timeline.of("router-1", HybridClock.over(() -> Instant.EPOCH), 100);
    private final ClosedPort closed = new ClosedPort();
    private final ScriptedGateway gateway = ScriptedGateway.start(system);
    private final WatchedStore store = store(Duration.ofSeconds(20), gateway.address());

    @BeforeAll
    static void startSystem() {
        system = ActorSystem.create("etcd-store-test");
    }

    @AfterAll
    static void stopSystem() {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }

    @AfterEach
    void stop() {
        store.close();
        gateway.stop();
        closed.close();
    }

    @Test
    void readsAnEntryWithItsRevisionsAndLease() {
        gateway.answer(
                200,
                """
                {"header":{"revision":"9"},"kvs":[{"key":"L2E=","value":"dg==",
                 "mod_revision":"7","version":"2","lease":"5"}]}
                """);
        Entry entry = join(store.read("/a")).orElseThrow();
        assertEquals("/a", entry.key());
        assertArrayEquals(VALUE, entry.value());
        assertEquals(
                List.of(7L, 2L, 5L), List.of(entry.modRevision(), entry.version(), entry.lease()));
        assertEquals(List.of("/v3/kv/range {\"key\":\"L2E=\"}"), gateway.requests());
    }

    @Test
    void aCommitSendsItsConditionsAndTellsWhatStoodInTheWay() {
        gateway.answer(
                200,
                """
                {"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[
                 {"key":"L2E=","value":"dg==","mod_revision":"7","version":"1"}]}}]}
                """);
        var result = join(store.commit(List.of(new Condition.Absent("/a")), List.of(put())));
        assertFalse(result.committed());
        assertEquals("/a", result.found().get(0).key());
        assertEquals(
                List.of(
                        "/v3/kv/txn {\"compare\":[{\"key\":\"L2E=\",\"target\":\"CREATE\","
                                + "\"result\":\"EQUAL\",\"create_revision\":\"0\"}],"
                                + "\"failure\":[{\"request_range\":{\"key\":\"L2E=\"}}],"
                                + "\"success\":[{\"request_put\":{\"key\":\"L2E=\","
                                + "\"value\":\"dg==\",\"lease\":\"0\"}}]}"),
                gateway.requests());
    }

    /**
     * The caller is told that a write may have taken effect. The store got it, and then cut the
     * connection, answered 503, or was silent beyond the time limit; each may follow the write.
     */
    @Test
    void aWriteThatWasSentAndNotAnsweredHasAnUnknownOutcome() {
        gateway.cut();
        assertEquals(Code.OUTCOME_UNKNOWN, failure(store.commit(List.of(), List.of(put()))));
        gateway.answer(503, "{}");
        assertEquals(Code.OUTCOME_UNKNOWN, failure(store.commit(List.of(), List.of(put()))));
        gateway.silence();
        WatchedStore hasty = store(Duration.ofMillis(300), gateway.address());
        assertEquals(Code.OUTCOME_UNKNOWN, failure(hasty.commit(List.of(), List.of(put()))));
        assertEquals(3, gateway.requests().size(), "a write must not be sent twice");
    }

    @Test
    void aWriteThatWasRefusedHadNoEffect() {
        gateway.answer(400, "{\"code\":3,\"message\":\"duplicate key\"}");
        assertEquals(Code.UNAVAILABLE, failure(store.commit(List.of(), List.of(put()))));
    }

    /**
     * The caller is told that the write had no effect, and may send it again. Nothing listens at
     * the address; this holds at each of several calls, also those after the first failure.
     */
    @Test
    void aWriteThatWasNeverSentHadNoEffect() {
        WatchedStore nobody = store(Duration.ofSeconds(20), closedAddress());
        for (int call = 0; call < 5; call++) {
            assertEquals(Code.UNAVAILABLE, failure(nobody.commit(List.of(), List.of(put()))));
        }
    }

    @Test
    void aReadThatFailsIsUnavailableAndTheStoreIsDownOnceUntilItAnswers() {
        gateway.cut();
        gateway.answer(500, "{}");
        gateway.answer(200, "{\"header\":{\"revision\":\"1\"}}");
        assertEquals(Code.UNAVAILABLE, failure(store.read("/a")));
        assertEquals(Code.UNAVAILABLE, failure(store.read("/a")));
        assertTrue(join(store.read("/a")).isEmpty());
        assertEquals(
                List.of(EventType.STORE_DOWN, EventType.STORE_UP),
                timeline.events().stream().map(Event::type).toList());
        assertEquals(3, metrics.counter("store_calls{op=\"range\"}").getCount());
        assertEquals(2, metrics.counter("store_failures{op=\"range\"}").getCount());
    }

    @Test
    void theNextEndpointIsTriedIfOneIsDown() {
        WatchedStore pair = store(Duration.ofSeconds(20), closedAddress(), gateway.address());
        gateway.answer(200, "{\"header\":{\"revision\":\"4\"},\"succeeded\":true}");
        assertTrue(join(pair.commit(List.of(), List.of(put()))).committed());
    }

    @Test
    void anAnswerThatIsNotJsonIsABadAnswer() {
        gateway.answer(200, "<html>");
        assertEquals(Code.BAD_ANSWER, failure(store.read("/a")));
    }

    @Test
    void aLeaseIsGrantedKeptAliveAndFoundEnded() {
        gateway.answer(200, "{\"ID\":\"77\",\"TTL\":\"10\"}");
        gateway.answer(200, "{\"result\":{\"ID\":\"77\",\"TTL\":\"10\"}}");
        gateway.answer(200, "{\"result\":{\"ID\":\"77\"}}");
        gateway.answer(404, "{\"code\":5,\"message\":\"requested lease not found\"}");
        assertEquals(77, join(store.grantLease(Duration.ofSeconds(10))));
        assertTrue(join(store.keepAlive(77)));
        assertFalse(join(store.keepAlive(77)));
        join(store.revokeLease(77));
    }

    @Test
    void aWatchTellsOfChangesAndOfItsEnd() {
        Heard heard = new Heard();
        gateway.stream(
                "{\"result\":{\"header\":{\"revision\":\"3\"},\"created\":true}}\n",
                "{\"result\":{\"header\":{\"revision\":\"4\"},\"events\":[{\"kv\":"
                        + "{\"key\":\"L2E=\",\"value\":\"dg==\",\"mod_revision\":\"4\"}}]}}\n",
                "{\"result\":{\"header\":{\"revision\":\"5\"},\"events\":[{\"type\":\"DELETE\","
                        + "\"kv\":{\"key\":\"L2E=\",\"mod_revision\":\"5\"}}]}}\n");
        store.watch("/a", 4, heard);
        await().until(() -> heard.ends.size() == 1);
        assertEquals(
                List.of(true, false),
                heard.changes.stream().map(c -> c.entry().isPresent()).toList());
        assertEquals(Code.UNAVAILABLE, heard.ends.get(0));
        assertEquals(
                List.of(
                        "/v3/watch {\"create_request\":{\"key\":\"L2E=\",\"range_end\":\"L2I=\","
                                + "\"start_revision\":\"4\"}}"),
                gateway.requests());
    }

    @Test
    void aWatchFromARevisionNoLongerKeptEndsAsCompacted() {
        Heard heard = new Heard();
        gateway.stream(
                "{\"result\":{\"header\":{\"revision\":\"90\"},\"canceled\":true,"
                        + "\"compact_revision\":\"50\"}}\n");
        store.watch("/a", 4, heard);
        await().until(() -> heard.ends.size() == 1);
        assertEquals(List.of(Code.COMPACTED), heard.ends, heard.why.toString());
    }

    @Test
    void theListOfVmsIsReadWholeOrNotAtAll() {
        VmList list = HttpVmList.of(system, gateway.address(), Duration.ofSeconds(20));
        String line =
                "{\"vm\":\"r1\",\"role\":\"router\",\"availability_zone\":\"z\",\"address\":\"h\","
                        + "\"peer_port\":1,\"operator_port\":2,\"state\":\"leaving\"}";
        gateway.answer(200, "{\"vms\":[" + line + "]}");
        gateway.answer(200, "{\"vms\":[" + line.replace("leaving", "lost") + "]}");
        gateway.answer(503, "");
        assertEquals(VmList.State.LEAVING, join(list.read()).get(0).state());
        assertEquals(Code.BAD_ANSWER, failure(list.read()));
        assertEquals(Code.UNAVAILABLE, failure(list.read()));
    }

    private WatchedStore store(Duration timeout, URI... endpoints) {
        return EtcdStore.builder(system)
                .endpoints(Arrays.asList(endpoints))
                .timeout(timeout)
                .metrics(metrics)
                .timeline(timeline)
                .build();
    }

    private static Write put() {
        return new Write.Put("/a", VALUE, 0);
    }

    private URI closedAddress() {
        return URI.create("http://" + closed.endpoint());
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private static Code failure(CompletionStage<?> stage) {
        CompletionException error = assertThrows(CompletionException.class, () -> join(stage));
        return ((PlatformException) error.getCause()).code();
    }

    private static final class Heard implements WatchListener {
        final List<Change> changes = new CopyOnWriteArrayList<>();
        final List<String> why = new CopyOnWriteArrayList<>();
        final List<Code> ends = new CopyOnWriteArrayList<>();

        @Override
        public void changed(List<Change> some, long revision) {
            changes.addAll(some);
        }

        @Override
        public void ended(PlatformException cause) {
            why.add(cause.toString());
            ends.add(cause.code());
        }
    }
}
