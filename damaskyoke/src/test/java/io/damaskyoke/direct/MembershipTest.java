package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.SameThreadControl;
import io.damaskyoke.follow.Pace;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.FakeStore;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final Pace PACE = new Pace(Duration.ofMillis(2_500), Duration.ZERO);

    private final SameThreadControl control = new SameThreadControl();
    private final FakeStore store = new FakeStore(control);

    @Test
    void aRouterThatIsCutOffHasNoListOfRouters() {
        // The store no longer answers this router. Its own copy of the list still names it; taken
        // for
        // the store's word, that copy would let it spend its shares after the others took them
        // back.
        Membership members =
                new Membership(
                        control,
                        store,
                        "p",
                        new RouterEntry(VmId.of("one"), "a", "127.0.0.1", 1),
                        PACE,
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
}
