package io.damaskyoke.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
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

    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore();
    private final ClaimRouter router =
            ClaimRouter.start(new SimulatedProcess(control), store, "router:1", 1);

    @Test
    void aClaimWrittenForARefusedRequestIsReleased() {
        // The store writes the claim, loses the answer, and is down until the request times out and
        // is refused unsent. A claim left in the store would have each repeat refused with an
        // unknown outcome although the payment never ran.
        assertInstanceOf(ClaimResult.Claimed.class, claimed("pay-1", 1));
        store.loseAnswers(1);
        CompletableFuture<ClaimResult> lost = claim("pay-2");
        control.advance(Duration.ofMillis(20));
        store.down(true);
        control.advance(DEADLINE);
        Refusal refusal = assertInstanceOf(ClaimResult.Refused.class, lost.join()).refusal();
        assertFalse(refusal.notRun());
        store.down(false);
        control.advance(Duration.ofSeconds(5));
        assertInstanceOf(ClaimResult.Claimed.class, claimed("pay-2", 1));
    }

    @Test
    void aLookupNeitherClaimsTheKeyNorRemovesItsClaim() {
        // A payment is repeated while its pool has no agent. Looking up a free key must leave it
        // free, and looking up a claimed key must find the claim and leave it in place.
        assertInstanceOf(ClaimResult.NotFound.class, lookedUp("pay-3"));
        assertInstanceOf(ClaimResult.Claimed.class, claimed("pay-3", 1));
        for (int i = 0; i < 2; i++) {
            Refusal refusal =
                    assertInstanceOf(ClaimResult.Refused.class, lookedUp("pay-3")).refusal();
            assertEquals(RefusalCode.IN_PROGRESS, refusal.code());
        }
    }

    @Test
    void aLookupDuringAnOutageEndsSoonAndFindsNothing() {
        // Store and agents are down at the same time. Waiting for the store would be useless, as no
        // agent could run the payment either; so the caller soon gets an answer with a retry time.
        store.down(true);
        assertInstanceOf(ClaimResult.NotFound.class, lookedUp("pay-4"));
    }

    private ClaimResult lookedUp(String key) {
        Request request = router.request(key, control.clock().instant().plus(DEADLINE));
        Map<VmId, ClaimRouter.QueriedAgent> agents = Map.of(AGENT, asked -> Optional.empty());
        CompletableFuture<ClaimResult> result =
                router.lookUp(request, agents).toCompletableFuture();
        control.advance(Duration.ofSeconds(2));
        return result.join();
    }

    private ClaimResult claimed(String key, long seconds) {
        CompletableFuture<ClaimResult> result = claim(key);
        control.advance(Duration.ofSeconds(seconds));
        return result.join();
    }

    private CompletableFuture<ClaimResult> claim(String key) {
        ClaimRouter.QueriedAgent knowsNothing = request -> Optional.empty();
        return router.claim(
                        null,
                        router.request(key, control.clock().instant().plus(DEADLINE)),
                        AGENT,
                        Map.of(AGENT, knowsNothing))
                .toCompletableFuture();
    }
}
