package io.damaskyoke.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.WatchedStore.WatchListener;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class ExtraStoreAnswersTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static ActorSystem system;

    private final TwiceAnswering server = new TwiceAnswering();

    @BeforeAll
    static void startSystem() {
        system = ActorSystem.create("extra-store-answers-test");
    }

    @AfterAll
    static void stopSystem() {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    // Guards against two leases that are taken for one, of which the second was never granted here.
    @Test
    void anExtraAnswerToAGrantIsNotTakenForTheNextLease() {
        server.answers("{\"ID\":\"7\",\"TTL\":\"9\"}", "{\"ID\":\"8\",\"TTL\":\"9\"}");
        try (WatchedStore store = store()) {
            assertEquals(7L, join(store.grantLease(LONG)));
            assertEquals(8L, join(store.grantLease(LONG)));
        }
    }

    // Guards against a lease that is lost, or taken for the next one, as its answer comes twice.
    @Test
    void anExtraAnswerAtOnceIsTakenForNoLease() {
        server.answers("{\"ID\":\"7\",\"TTL\":\"9\"}", "{\"ID\":\"8\",\"TTL\":\"9\"}");
        server.answerTwiceAtOnce();
        try (WatchedStore store = store()) {
            assertEquals(7L, join(store.grantLease(LONG)));
            assertEquals(8L, join(store.grantLease(LONG)));
        }
    }

    // Guards against a replica that takes itself for the leader, as the answer to an earlier
    // transaction says that it was committed.
    @Test
    void anExtraAnswerToACommitIsNotTakenForTheNextOne() {
        server.answers(
                "{\"header\":{\"revision\":\"1\"},\"succeeded\":true}",
                "{\"header\":{\"revision\":\"2\"},\"responses\":[{\"response_range\":{}}]}");
        try (WatchedStore store = store()) {
            assertEquals(true, join(store.commit(List.of(), List.of())).committed());
            assertEquals(false, join(store.commit(List.of(), List.of())).committed());
        }
    }

    // Guards against a lease that counts as alive after it has ended.
    @Test
    void anExtraAnswerToAKeepAliveIsNotTakenForTheNextOne() {
        server.answers("{\"result\":{\"TTL\":\"9\"}}", "{\"result\":{}}");
        try (WatchedStore store = store()) {
            assertEquals(true, join(store.keepAlive(7)));
            assertEquals(false, join(store.keepAlive(7)));
        }
    }

    // Guards against changes that are reported twice, or under a watch that has ended.
    @Test
    void anExtraAnswerToAWatchReportsNothing() {
        server.answers(
                "{\"result\":{\"header\":{\"revision\":\"4\"},\"events\":[{\"kv\":{\"key\":\"L2E=\",\"value\":\"dg==\",\"mod_revision\":\"4\",\"version\":\"1\"}}]}}\n");
        server.answerTwiceAtOnce();
        List<Long> revisions = new CopyOnWriteArrayList<>();
        CompletableFuture<PlatformException> ended = new CompletableFuture<>();
        try (WatchedStore store = store()) {
            store.watch(
                    "/a",
                    1,
                    new WatchListener() {
                        @Override
                        public void changed(List<Change> changes, long revision) {
                            revisions.add(revision);
                        }

                        @Override
                        public void ended(PlatformException cause) {
                            ended.complete(cause);
                        }
                    });
            join(ended.orTimeout(LONG.toSeconds(), TimeUnit.SECONDS));
            assertEquals(List.of(4L), revisions);
        }
    }

    // Guards against a list of VMs from before a VM was added.
    @Test
    void anExtraListOfVmsIsNotTakenForTheNextOne() {
        server.answers("{\"vms\":[]}", "{\"vms\":[" + vm() + "]}");
        VmList list = HttpVmList.of(system, server.address().resolve("/vms"), LONG);
        assertEquals(0, join(list.read()).size());
        assertEquals(1, join(list.read()).size());
    }

    private static String vm() {
        return "{\"vm\":\"a\",\"role\":\"agent\",\"availability_zone\":\"z\","
                + "\"address\":\"127.0.0.1\",\"peer_port\":1,\"operator_port\":2,"
                + "\"state\":\"live\"}";
    }

    private WatchedStore store() {
        URI address = server.address();
        return EtcdStore.builder(system)
                .endpoints(List.of(address))
                .timeout(LONG)
                .connections(1)
                .timeline(Timeline.of("router-1", HybridClock.over(() -> Instant.EPOCH), 100))
                .build();
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
