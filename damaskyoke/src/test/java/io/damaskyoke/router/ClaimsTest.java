package io.damaskyoke.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.damaskyoke.control.SameThreadControl;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.FakeStore;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ClaimsTest {
    private static final VmId AGENT = VmId.of("agent-1");
    private static final Duration DEADLINE = Duration.ofSeconds(20);

    private final SameThreadControl control = new SameThreadControl();
    private final FakeStore store = new FakeStore();
    private final ClaimRouter router = ClaimRouter.start(new Life(control), store, "router:1", 1);

    @Test
    void aClaimThatWasWrittenThoughItsRequestWasRefusedIsTakenBack() {
        // The store takes the claim, loses its answer, and goes down for longer than the request
        // can
        // wait. The request is refused and never sent. Left in the store, its claim would have each
        // repeat told that the outcome is unknown of a payment that never ran.
        assertInstanceOf(ClaimResult.Held.class, claimed("pay-1", 1));
        store.loseAnswers(1);
        CompletableFuture<ClaimResult> lost = claim("pay-2");
        control.advance(Duration.ofMillis(20));
        store.down(true);
        control.advance(DEADLINE);
        Refusal refusal = assertInstanceOf(ClaimResult.Refused.class, lost.join()).refusal();
        assertFalse(refusal.notRun());
        store.down(false);
        control.advance(Duration.ofSeconds(5));
        assertInstanceOf(ClaimResult.Held.class, claimed("pay-2", 1));
    }

    private ClaimResult claimed(String key, long seconds) {
        CompletableFuture<ClaimResult> result = claim(key);
        control.advance(Duration.ofSeconds(seconds));
        return result.join();
    }

    private CompletableFuture<ClaimResult> claim(String key) {
        ClaimRouter.Asked knowsNothing = request -> Optional.empty();
        return router.claim(
                        null,
                        router.request(key, control.clock().instant().plus(DEADLINE)),
                        AGENT,
                        Map.of(AGENT, knowsNothing))
                .toCompletableFuture();
    }
}
