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
import io.damaskyoke.platform.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {
    private static final PollTiming PACE = new PollTiming(Duration.ofMillis(2_500), Duration.ZERO);

    private static final String OWN_KEY = "p/fleet/routers/one";

    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore(control);

    // Guards against a router that rejects requests within the rate after it has registered again,
    // until the next change tells it that it is listed.
    @ParameterizedTest
    @ValueSource(longs = {2_000, 2_200, 2_400, 2_600, 2_800, 3_000, 3_200, 3_400, 3_600, 3_800})
    void aRouterWhoseEntryLapsedIsBackOnItsListAsSoonAsItIsRegistered(long lapsesAfter) {
        PollTiming timing = new PollTiming(Duration.ofMillis(2_500), Duration.ofMillis(800));
        Membership members =
                new Membership(
                        control,
                        store,
                        "p",
                        new RouterEntry(
                                VmId.of("one"), "a", "127.0.0.1", 1, OptionalDouble.empty()),
                        timing,
                        Relay.none(),
                        new Metrics());
        members.start(() -> {});
        control.advance(Duration.ofMillis(lapsesAfter));
        store.expire(1);
        // Another entry changes shortly after, so that the next poll is due a full gap later.
        control.advance(Duration.ofMillis(10));
        put("p/fleet/routers/two", "junk");
        while (!store.contents("p/fleet/routers/").stream()
                .anyMatch(entry -> entry.key().endsWith("/one"))) {
            control.advance(Duration.ofMillis(10));
        }
        control.advance(Duration.ofMillis(10));
        assertEquals(1, members.read().toCompletableFuture().join().size());
    }

    // Guards against a registration without an answer that is carried out after the one that
    // repeated it: the entry ends with the first lease, and the router renews only the second.
    @Test
    void aRouterWhoseEntryIsUnderAnEarlierLeaseRegistersAgain() {
        Membership members = started();
        long earlier = store.grantLease(Duration.ofSeconds(4)).toCompletableFuture().join();
        store.commit(List.of(), List.of(new Write.Put(OWN_KEY, entry("one").toJson(), earlier)));
        control.advance(Duration.ofSeconds(3));
        store.expire(earlier);
        control.advance(Duration.ofSeconds(1));
        assertEquals(1, members.read().toCompletableFuture().join().size());
        assertFalse(members.isDelisted());
    }

    // Guards against the same if the late write and its end are seen together.
    @Test
    void aRouterWhoseEntryIsGoneRegistersAgain() {
        Membership members = started();
        store.commit(List.of(), List.of(new Write.Delete(OWN_KEY)));
        control.advance(Duration.ofSeconds(4));
        assertEquals(1, members.read().toCompletableFuture().join().size());
    }

    // Guards against a router that says that it is ready while it may spend no rate share, and
    // refuses every request of a workspace with a limit.
    @Test
    void aRouterThatCannotRegisterSaysThatItIsNotListed() {
        Membership members = started();
        store.refuseLeases(true);
        store.commit(List.of(), List.of(new Write.Delete(OWN_KEY)));
        control.advance(Duration.ofSeconds(6));
        assertTrue(members.isDelisted());
        store.refuseLeases(false);
        control.advance(Duration.ofSeconds(6));
        assertFalse(members.isDelisted());
    }

    private Membership started() {
        Membership members =
                new Membership(
                        control, store, "p", entry("one"), PACE, Relay.none(), new Metrics());
        members.start(() -> {});
        control.advance(Duration.ofSeconds(2));
        return members;
    }

    @Test
    void aRouterThatIsPartitionedFromTheStoreHasNoListOfRouters() {
        // The store no longer answers this router, whose copy of the list still names it. Using
        // that copy, it would spend its rate shares after the others reclaimed them.
        Membership members =
                new Membership(
                        control,
                        store,
                        "p",
                        new RouterEntry(
                                VmId.of("one"), "a", "127.0.0.1", 1, OptionalDouble.empty()),
                        PACE,
                        Relay.none(),
                        new Metrics());
        members.start(() -> {});
        control.advance(Duration.ofSeconds(1));
        assertEquals(1, members.read().toCompletableFuture().join().size());
        store.down(true);
        control.advance(Duration.ofSeconds(3));
        assertTrue(members.read().toCompletableFuture().isCompletedExceptionally());
        store.down(false);
        control.advance(Duration.ofSeconds(3));
        assertEquals(1, members.read().toCompletableFuture().join().size());
    }

    // Guards against one entry of another writer after which the list of routers stays as it was.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "routers/|{}",
                "routers/a b|{}",
                "routers/x|{\"vm\":\"x\",\"zone\":\"a\",\"host\":\"h\",\"port\":-1}",
                "routers/x|{\"vm\":\"x\",\"zone\":\"a\",\"host\":\"h\",\"port\":65536}",
                "routers/x|{\"vm\":\"x\",\"zone\":\"a\",\"host\":\"h\",\"port\":1e400}",
                "routers/x|{\"vm\":\"x\",\"zone\":\"\",\"host\":\"h\",\"port\":1}",
                "routers/x|{\"vm\":\"x\",\"zone\":\"a b\",\"host\":\"h\",\"port\":1}",
                "routers/x|{\"vm\":\"y\",\"zone\":\"a\",\"host\":\"h\",\"port\":1}",
                "routers/x|{\"vm\":\"x\",\"zone\":\"a\",\"host\":\"\",\"port\":1}",
                "routers/x|{\"vm\":\"x\",\"zone\":\"a\",\"host\":\"h\"}",
                "giver|a router?",
                "kept-out/|-1",
                "kept-out/x|99999999999",
                "kept-out-parts/|1e400"
            })
    void anOddEntryAmongTheRoutersHidesNoOther(String key, String value) {
        put("p/fleet/" + key, value);
        putRouter("yet");
        Membership members =
                new Membership(
                        control, store, "p", entry("one"), PACE, Relay.none(), new Metrics());
        members.start(() -> members.others().forEach(RouterEntry::address));
        control.advance(Duration.ofSeconds(1));
        putRouter("two");
        control.advance(Duration.ofSeconds(3));
        putRouter("zzz");
        control.advance(Duration.ofSeconds(3));
        assertEquals(
                Set.of(VmId.of("one"), VmId.of("two"), VmId.of("yet"), VmId.of("zzz")),
                Set.copyOf(members.routerIds()));
    }

    private void putRouter(String name) {
        Write write = new Write.Put("p/fleet/routers/" + name, entry(name).toJson(), 0);
        store.commit(List.of(), List.of(write));
    }

    private static RouterEntry entry(String name) {
        return new RouterEntry(VmId.of(name), "a", "127.0.0.1", 1, OptionalDouble.empty());
    }

    private void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        store.commit(List.of(), List.of(new Write.Put(key, bytes, 0)));
    }
}
