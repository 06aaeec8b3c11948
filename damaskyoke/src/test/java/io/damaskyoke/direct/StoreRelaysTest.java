package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

class StoreRelaysTest {
    private static final VmId ONE = VmId.of("one");
    private static final VmId TWO = VmId.of("two");
    private static final Duration WAIT = Duration.ofMillis(600);

    private final TestControlThread control = new TestControlThread();
    private final List<VmId> asked = new ArrayList<>();
    private final Set<VmId> unreachable = new HashSet<>();
    private final StoreRelays relays =
            new StoreRelays(
                    control,
                    () -> List.of(ONE, TWO),
                    (relay, number, prefix, after, wait) ->
                            !unreachable.contains(relay) && asked.add(relay));

    @Test
    void theFirstRelayIsAskedAndItsAnswerIsReturned() {
        CompletionStage<Changes> answer = relays.changes("k", 5, WAIT);
        relays.answered(ONE, 1, Optional.of(new Changes(List.of(), 7, Duration.ofMillis(40))));
        assertEquals(7, answer.toCompletableFuture().join().revision());
        assertEquals(List.of(ONE), asked);
    }

    // Guards against asking a relay again that was killed or is frozen.
    @Test
    void aRelayThatDoesNotAnswerIsSkippedForAWhile() {
        CompletionStage<Changes> answer = relays.changes("k", 5, WAIT);
        control.advance(Duration.ofSeconds(1));
        assertTrue(answer.toCompletableFuture().isCompletedExceptionally());
        relays.changes("k", 5, WAIT);
        control.advance(Duration.ofSeconds(3));
        relays.changes("k", 5, WAIT);
        assertEquals(List.of(ONE, TWO, ONE), asked);
    }

    // Guards against a relay that the store rejects, and that hides changes from this router.
    @Test
    void noRelayIsAvailableForAWhileIfNoneCanAnswer() {
        relays.changes("k", 5, WAIT);
        relays.answered(ONE, 1, Optional.empty());
        relays.changes("k", 5, WAIT);
        relays.answered(TWO, 2, Optional.empty());
        assertFalse(relays.available());
        control.advance(Duration.ofSeconds(3));
        assertTrue(relays.available());
    }

    @Test
    void aRelayWithoutALinkIsSkippedAtOnce() {
        unreachable.add(ONE);
        relays.changes("k", 5, WAIT);
        assertEquals(List.of(TWO), asked);
    }

    // Guards against accepting another router's answer under the same number.
    @Test
    void onlyTheRelayThatWasAskedCanAnswer() {
        CompletionStage<Changes> answer = relays.changes("k", 5, WAIT);
        relays.answered(TWO, 1, Optional.of(new Changes(List.of(), 7)));
        assertFalse(answer.toCompletableFuture().isDone());
    }
}
