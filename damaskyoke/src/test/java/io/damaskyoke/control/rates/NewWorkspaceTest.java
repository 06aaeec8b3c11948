package io.damaskyoke.control.rates;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class NewWorkspaceTest {
    private static final WorkspaceId GROWERS = WorkspaceId.of("growers");
    private static final long BURST = 600;

    private final Map<String, RateMachine> routers = new TreeMap<>();
    private ShareTable stored;
    private long revision;
    private long lastRequest;
    private long nowMillis;
    private int incarnations;

    @Test
    void aRouterServesANewWorkspaceThoughItsFirstWriterDied() {
        // Guards against refusals of a new workspace: one of two routers writes its first shares
        // and dies at once. The caller retries at the other router, far below the rate, and would
        // be refused for as long as the dead router's share counts.
        start("a", "b");
        settle("a", "b");
        routers.remove("a");
        assertTrue(admitted("b", 200));
    }

    @Test
    void allRoutersTogetherHaveOneBurstOfANewWorkspace() {
        // Each router finds its part untouched and starts with the burst of that part. Together
        // they may admit exactly one burst at the first moment.
        start("a", "b", "c", "d");
        settle("a", "b", "c", "d");
        int admitted = 0;
        for (int i = 0; i < 40; i++) {
            admitted += admitted("abcd".substring(i % 4, i % 4 + 1), 50) ? 1 : 0;
        }
        assertEquals(BURST / 50, admitted);
    }

    @Test
    void aRequestLargerThanEveryShareIsServedFromTheSharesOfAllRouters() {
        // Guards against always asking the same eight lenders: twenty routers share a burst of 600,
        // thirty each. A request for 500 needs transfers from nearly all of them, and would be
        // refused within the rate.
        String[] names = routerNames(20);
        start(names);
        settle(names);
        assertTrue(admittedWithLoans("ra", 500));
    }

    @Test
    void withManyRoutersAFewHoldTheSharesAndTheOthersBorrow() {
        // Guards against shares smaller than a request: an even part of 600 among twenty-four
        // routers is 25, and a usual request needs 100. Most requests would need several transfers
        // and many would be refused within the rate, so a few routers hold everything. The last of
        // the burst may be lent in parts that are each too small.
        String[] names = routerNames(24);
        start(names);
        settle(names);
        assertEquals(4, stored.shares().size(), stored.shares().keySet().toString());
        int admitted = 0;
        for (String name : names) {
            admitted += admittedWithLoans(name, 100) ? 1 : 0;
        }
        assertTrue(admitted >= 4, admitted + " of the 6 that the burst pays");
    }

    @Test
    void reservedTokensAreAvailableToTheNextIncarnationOnTheSameVm() {
        // Guards against refusals within the rate after all routers are killed and restart with
        // empty buckets, though the buckets were full before.
        start("a", "b");
        settle("a", "b");
        letThreeSecondsPass("a", "b");
        start("a", "b");
        settle("a", "b");
        assertEquals(BURST / 4, (long) routers.get("a").available(GROWERS));
        assertTrue(admitted("a", BURST / 4));
    }

    @Test
    void reservedTokensAreReleasedInTheStoreBeforeTheyAreSpent() {
        // Guards against spending twice: a router has reserved half of its bucket for its next
        // incarnation, and a request needs more than the other half. If it spent the reserve at
        // once and was killed, its next incarnation would spend it again.
        start("a", "b");
        settle("a", "b");
        letThreeSecondsPass("a", "b");
        ExchangeId id = new ExchangeId(Incarnation.of("a:1"), ++lastRequest);
        RateMachine router = routers.get("a");
        List<RateAction> before = router.on(new RateInput.RequestArrived(id, GROWERS, 250), at());
        assertTrue(
                before.stream().noneMatch(new RateAction.AdmitRequest(id)::equals),
                before.toString());
        carryOut(router.on(new RateInput.Tick(), at()));
        List<RateAction> after =
                router.on(
                        new RateInput.SharesRead(
                                Map.of(GROWERS, new RateInput.ShareRow(stored, revision)), at()),
                        at());
        assertTrue(after.contains(new RateAction.AdmitRequest(id)), after.toString());
    }

    @Test
    void aRestartedRouterFindsNoUntouchedTokens() {
        // Guards against spending the burst twice: a router spends it, dies and restarts on the
        // same VM. Its new incarnation gets the part back, but not the burst.
        start("a", "b");
        settle("a", "b");
        assertTrue(admitted("b", 300));
        routers.put("b", machine("b", "b:2"));
        configure(routers.get("b"), Set.of(VmId.of("a"), VmId.of("b")));
        settle("b");
        assertEquals(0, routers.get("b").available(GROWERS));
    }

    private static String[] routerNames(int count) {
        String[] names = new String[count];
        for (int i = 0; i < names.length; i++) {
            names[i] = "r" + (char) ('a' + i);
        }
        return names;
    }

    private void letThreeSecondsPass(String... names) {
        for (int step = 0; step < 3; step++) {
            nowMillis += 1_000;
            settle(names);
        }
    }

    private void start(String... names) {
        incarnations++;
        Set<VmId> listed = new java.util.TreeSet<>();
        for (String name : names) {
            listed.add(VmId.of(name));
        }
        for (String name : names) {
            routers.put(name, machine(name, name + ":" + incarnations));
            configure(routers.get(name), listed);
        }
    }

    private static RateMachine machine(String name, String incarnation) {
        return RateMachine.of(
                Incarnation.of(incarnation),
                VmId.of(name),
                "127.0.0.1:1",
                RateSettings.direct().withoutOwners());
    }

    private void configure(RateMachine router, Set<VmId> listed) {
        Workspace workspace = new Workspace(GROWERS, 1, BURST, 1);
        router.on(new RateInput.RoutersListed(listed), at());
        router.on(new RateInput.WorkspacesConfigured(Map.of(GROWERS, workspace)), at());
    }

    private void settle(String... names) {
        for (int step = 0; step < names.length * 2; step++) {
            for (String name : names) {
                carryOut(routers.get(name).on(new RateInput.Tick(), at()));
                read(routers.get(name));
            }
        }
    }

    private void read(RateMachine router) {
        Map<WorkspaceId, RateInput.ShareRow> rows =
                stored == null
                        ? Map.of()
                        : Map.of(GROWERS, new RateInput.ShareRow(stored, revision));
        carryOut(router.on(new RateInput.SharesRead(rows, at()), at()));
    }

    private void carryOut(List<RateAction> actions) {
        for (RateAction action : actions) {
            if (action instanceof RateAction.WriteShares write && write.revision() == revision) {
                stored = ShareTable.parse(write.table().toJson());
                revision++;
            }
        }
    }

    private boolean admitted(String name, long tokens) {
        ExchangeId id = new ExchangeId(Incarnation.of(name + ":1"), ++lastRequest);
        List<RateAction> actions = new ArrayList<>();
        actions.addAll(
                routers.get(name).on(new RateInput.RequestArrived(id, GROWERS, tokens), at()));
        return actions.contains(new RateAction.AdmitRequest(id));
    }

    // Token requests are answered a few milliseconds later, round after round, as long as the
    // request is queued.
    private boolean admittedWithLoans(String name, long tokens) {
        ExchangeId id = new ExchangeId(Incarnation.of(name + ":1"), ++lastRequest);
        RateMachine borrower = routers.get(name);
        List<RateAction> actions =
                new ArrayList<>(
                        borrower.on(new RateInput.RequestArrived(id, GROWERS, tokens), at()));
        for (int round = 0; round < 5; round++) {
            nowMillis += 25;
            List<RateAction> next = new ArrayList<>();
            for (RateAction action : actions) {
                if (action instanceof RateAction.AdmitRequest) {
                    return true;
                }
                if (action instanceof RateAction.SendTokenRequest tokenRequest) {
                    next.addAll(answerTo(name, borrower, tokenRequest));
                }
            }
            next.addAll(borrower.on(new RateInput.Tick(), at()));
            actions = next;
        }
        return actions.contains(new RateAction.AdmitRequest(id));
    }

    private List<RateAction> answerTo(
            String name, RateMachine borrower, RateAction.SendTokenRequest tokenRequest) {
        RateInput.TokensRequested request =
                new RateInput.TokensRequested(
                        VmId.of(name),
                        GROWERS,
                        tokenRequest.tokens(),
                        tokenRequest.requestId(),
                        tokenRequest.spentTransfers());
        List<RateAction> actions = new ArrayList<>();
        for (RateAction answer : routers.get(tokenRequest.to().value()).on(request, at())) {
            if (answer instanceof RateAction.SendTokenTransfer transfer) {
                actions.addAll(
                        borrower.on(
                                new RateInput.TransferReceived(
                                        tokenRequest.to(),
                                        GROWERS,
                                        transfer.tokens(),
                                        transfer.transferId()),
                                at()));
            }
        }
        return actions;
    }

    private Instant at() {
        return Instant.ofEpochMilli(nowMillis);
    }
}
