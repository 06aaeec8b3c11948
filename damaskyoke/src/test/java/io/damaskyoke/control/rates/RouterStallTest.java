package io.damaskyoke.control.rates;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RouterStallTest {
    private static final WorkspaceId GROWERS = WorkspaceId.of("growers");
    private static final VmId OWNER = VmId.of("a");
    private static final VmId BORROWER = VmId.of("b");
    private static final Incarnation SELF = Incarnation.of("b:1");
    private static final ExchangeId REQUEST = new ExchangeId(SELF, 1);
    private static final long TOKENS = 5;
    private static final long TICK_MILLIS = 10;

    // Longer than the queue timeout, shorter than a freeze.
    private static final long STALL_MILLIS = 200;

    private final RateMachine router =
            RateMachine.of(SELF, BORROWER, "127.0.0.1:1", RateSettings.direct());
    private final List<RateAction> actions = new ArrayList<>();
    private long nowMillis;

    // The borrower is past its start, and the owner holds the whole workspace.
    @BeforeEach
    void start() {
        router.setStartTime(at());
        run(5_000);
        Workspace workspace = new Workspace(GROWERS, 100_000, 100_000, 1);
        ShareTable table = ShareTable.founded(Incarnation.of("a:1"), OWNER, "127.0.0.1:2", 1);
        feed(new RateInput.RoutersListed(Set.of(OWNER, BORROWER)));
        feed(new RateInput.WorkspacesConfigured(Map.of(GROWERS, workspace)));
        feed(new RateInput.SharesRead(Map.of(GROWERS, new RateInput.ShareRow(table, 1)), at()));
        actions.clear();
    }

    // Guards against refusals within the rate by a router that stood still for longer than a
    // request may wait, though the tokens have come meanwhile.
    @Test
    void anAnswerThatCameWhileTheRouterStoodStillIsUsed() {
        arrive();
        stall();
        run(20);
        feed(answer());
        assertTrue(actions.contains(new RateAction.AdmitRequest(REQUEST)), actions.toString());
    }

    // Guards against requests that wait for an owner that is lost, because their router stands
    // still again and again.
    @Test
    void aRequestWithoutAnAnswerIsRefusedAfterTheSecondStallAtTheLatest() {
        arrive();
        stall();
        assertFalse(refused(), actions.toString());
        run(20);
        stall();
        assertTrue(refused(), actions.toString());
    }

    // Guards against a wait without end after a single stall.
    @Test
    void aRequestWithoutAnAnswerIsRefusedSoonAfterAStall() {
        arrive();
        stall();
        run(100);
        assertTrue(refused(), actions.toString());
    }

    private void arrive() {
        feed(new RateInput.RequestArrived(REQUEST, GROWERS, TOKENS));
    }

    private void stall() {
        nowMillis += STALL_MILLIS;
        feed(new RateInput.Tick());
    }

    private void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_MILLIS) {
            feed(new RateInput.Tick());
        }
    }

    private RateInput answer() {
        RateAction.SendTokenRequest sent =
                actions.stream()
                        .filter(RateAction.SendTokenRequest.class::isInstance)
                        .map(RateAction.SendTokenRequest.class::cast)
                        .findFirst()
                        .orElseThrow();
        return new RateInput.TransferReceived(
                OWNER, GROWERS, TOKENS, sent.requestId() + '/' + OWNER);
    }

    private boolean refused() {
        return actions.stream().anyMatch(RateAction.RefuseRequest.class::isInstance);
    }

    private void feed(RateInput input) {
        actions.addAll(router.on(input, at()));
    }

    private Instant at() {
        return Instant.ofEpochMilli(nowMillis);
    }
}
