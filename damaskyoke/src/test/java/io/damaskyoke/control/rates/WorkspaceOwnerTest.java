package io.damaskyoke.control.rates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class WorkspaceOwnerTest {
    private static final WorkspaceId GROWERS = WorkspaceId.of("growers");
    private static final long RATE = 1_000;
    private static final long BURST = 6_000;
    private static final WaitLimits PATIENT = within(1_250, 1_800);
    private static final WaitLimits URGENT = within(75, 450);

    private final Map<VmId, RateMachine> routers = new TreeMap<>();
    private final Set<VmId> lostRouters = new TreeSet<>();
    private final Set<VmId> holderCandidates = new TreeSet<>();
    private final Map<Long, Boolean> admitted = new HashMap<>();
    private final Map<Long, Duration> retryAfter = new HashMap<>();
    private ShareTable stored;
    private long revision;
    private long nowMillis = 1_000;
    private int incarnations;
    private long counter;
    private Workspace workspace = new Workspace(GROWERS, RATE, BURST, 1);

    @Test
    void oneOfSixRoutersOwnsTheWorkspace() {
        start(sixRouters());
        advance(6_000);
        assertEquals(6, stored.shares().size());
        assertTrue(stored.owner().isPresent(), stored.toString());
    }

    @Test
    void aRequestOfHalfABurstIsServedAtAnyRouterAtOnce() {
        // Guards against even shares: a request for 3,000 of a burst of 6,000 is three times an
        // even part and needs transfers from four routers. Two such requests at two routers would
        // each get a part of what both need, and neither be served.
        start(sixRouters());
        advance(6_000);
        long request = arrive(other(0), 3_000, PATIENT);
        advance(20);
        assertEquals(true, admitted.get(request));
    }

    @Test
    void aRequestIsQueuedAtTheOwnerUntilItsTokensHaveAccrued() {
        // Guards against an early refusal. The burst is spent and the next request lacks 1,000
        // tokens, which accrue within 1.5 seconds while its caller can wait. If refused, it would
        // be retried a second later.
        start(sixRouters());
        advance(6_000);
        spendBurst();
        long waiting = arrive(other(0), 1_000, PATIENT);
        advance(100);
        assertFalse(admitted.containsKey(waiting));
        advance(1_500);
        assertEquals(true, admitted.get(waiting));
    }

    @Test
    void tokensSetAsideForARequestAreNotRefilledMeanwhile() {
        // Guards against spending beyond the burst: a router sets its few tokens aside for a
        // request that waits at the owner for the rest. If its bucket refilled beside them, both
        // would be spent at the same moment.
        start(sixRouters());
        advance(6_000);
        VmId router = other(0);
        lostRouters.add(owner());
        long waiting = arrive(router, 1_000, PATIENT);
        advance(40);
        assertFalse(admitted.containsKey(waiting));
        assertEquals(0, (long) routers.get(router).available(GROWERS));
    }

    @Test
    void aRequestQueuedAtTheOwnerIsAnsweredThoughItsWorkspaceIsRemoved() {
        // Guards against a lost answer: a ticket removes the workspace while a request waits in the
        // owner's queue. If its router dropped the workspace at once, the owner's answer would be
        // ignored and the caller would wait until its own timeout.
        start(sixRouters());
        advance(6_000);
        spendBurst();
        VmId router = other(0);
        long waiting = arrive(router, 1_000, PATIENT);
        advance(20);
        feed(router, new RateInput.WorkspacesConfigured(Map.of()));
        advance(2_500);
        assertTrue(admitted.containsKey(waiting));
    }

    @Test
    void aSmallUrgentRequestIsServedBeforeALargePatientOne() {
        // Guards against head-of-line blocking: a request for 1,000 tokens waits at one router, and
        // one for 50 that is late after a tenth of a second arrives at another. Behind the large
        // one it would be refused.
        start(sixRouters());
        advance(6_000);
        spendBurst();
        long report = arrive(other(0), 1_000, PATIENT);
        advance(20);
        long payment = arrive(other(1), 50, URGENT);
        advance(150);
        assertEquals(true, admitted.get(payment));
        assertFalse(admitted.containsKey(report));
        advance(1_500);
        assertEquals(true, admitted.get(report));
    }

    @Test
    void aRequestThatCannotBeServedInTimeIsRefusedAtOnceWithARetryTime() {
        // Guards against a late refusal: the burst is spent and 5,000 tokens take at least five
        // seconds. If the request were queued until its timeout, the caller would learn the same
        // two seconds later.
        start(sixRouters());
        advance(6_000);
        spendBurst();
        long large = arrive(other(0), 5_000, PATIENT);
        advance(150);
        assertEquals(false, admitted.get(large));
        assertTrue(retryAfter.get(large).toMillis() >= 4_500, retryAfter.toString());
    }

    @Test
    void aSmallRequestIsServedFromStandbyPartsWhileTheOwnerIsLost() {
        // The owner dies: the others cannot borrow from it, and nobody may reclaim its part yet.
        // Each has a small part of its own.
        start(sixRouters());
        advance(6_000);
        VmId router = other(0);
        lostRouters.add(owner());
        long payment = arrive(router, 200, URGENT);
        advance(200);
        assertEquals(true, admitted.get(payment));
    }

    @Test
    void anotherRouterBecomesOwnerSoonAfterTheOwnerIsGone() {
        // Guards against an outage after the owner's VM is gone and off the list: as long as its
        // part is not reclaimed, all large requests of the workspace are refused.
        start(sixRouters());
        advance(6_000);
        VmId goneOwner = owner();
        lostRouters.add(goneOwner);
        sendRouterList();
        advance(14_000);
        assertTrue(stored.owner().isPresent(), stored.toString());
        assertFalse(stored.owner().get().equals(goneOwner));
        long large = arrive(other(0), 3_000, PATIENT);
        advance(1_500);
        assertEquals(true, admitted.get(large));
    }

    // Guards against a workspace that is refused for a dozen seconds because its owner's VM is
    // gone.
    @Test
    void aWorkspaceIsServedAgainSoonAfterItsOwnersVmIsGone() {
        start(fifteenRouters());
        advance(8_000);
        lostRouters.add(owner());
        sendRouterList();
        advance(8_000);
        long large = arrive(other(0), 3_000, PATIENT);
        advance(1_500);
        assertEquals(true, admitted.get(large));
    }

    @Test
    void afterARestartOfAllRoutersTheOwnerTakesItsPartFirst() {
        // Guards against lost writes after all routers are killed and start at once: if each wrote
        // its small part into the row first, the owner would lose one race after another, and all
        // routers would wait for it.
        start(sixRouters());
        advance(6_000);
        VmId before = owner();
        start(sixRouters());
        advance(300);
        assertEquals(Optional.of(before), stored.owner());
        long after = arrive(other(0), 200, URGENT);
        advance(450);
        assertEquals(true, admitted.get(after));
    }

    // Guards against standbys that keep the small parts of a small fleet because the large routers
    // start before the others are listed. A workspace would be refused while its owner is lost.
    @Test
    void standbysHoldNearlyHalfThoughTheListWasShortAtFirst() {
        start(sixRouters());
        advance(5_000);
        holderCandidates.addAll(sixRouters());
        start(fifteenRouters());
        advance(12_000);
        int standby =
                stored.shares().values().stream()
                        .filter(share -> !share.vm().equals(owner()))
                        .mapToInt(ShareTable.Share::part)
                        .sum();
        assertTrue(standby >= 0.4 * ShareTable.WHOLE, stored.toString());
    }

    // Guards against refusals within the rate because the remaining tokens are spread over dozens
    // of routers, too few at each for a request.
    @Test
    void withManyRoutersRequestsWithinTheRateAreServedThoughAnEvenShareIsLarge() {
        workspace = new Workspace(GROWERS, 9_000, 33_000, 1);
        start(fifteenRouters());
        advance(6_000);
        List<Long> requests = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            VmId router = List.copyOf(routers.keySet()).get(i * 7 % routers.size());
            requests.add(arrive(router, 1_500, PATIENT));
            advance(190);
        }
        advance(2_000);
        assertEquals(0, requests.stream().filter(request -> !admitted.get(request)).count());
    }

    // Guards against a token request to the owner for each request, which a slow owner answers
    // late.
    @Test
    void anOwnerWithPlentyLendsTokensForTheNextRequestsOfARouter() {
        start(sixRouters());
        advance(6_000);
        VmId router = other(0);
        assertEquals(true, verdictAfterDelay(arrive(router, 1_000, PATIENT)));
        lostRouters.add(owner());
        assertEquals(true, verdictAfterDelay(arrive(router, 400, PATIENT)));
    }

    // Guards against refusals within the rate after a restart of all routers, when the workspace's
    // owner is on the slowest VM and starts last.
    @Test
    void afterARestartOfAllRoutersRequestsWaitForASlowOwner() {
        start(fifteenRouters());
        advance(8_000);
        VmId slowOwner = owner();
        lostRouters.add(slowOwner);
        List<VmId> fastRouters = fifteenRouters();
        fastRouters.remove(slowOwner);
        start(fastRouters);
        advance(2_300);
        long waiting = arrive(fastRouters.get(0), 2_000, PATIENT);
        advance(700);
        assertFalse(admitted.containsKey(waiting));
        lostRouters.remove(slowOwner);
        start(List.of(slowOwner));
        advance(900);
        assertEquals(true, admitted.get(waiting));
    }

    private Boolean verdictAfterDelay(long request) {
        advance(20);
        return admitted.get(request);
    }

    private static List<VmId> fifteenRouters() {
        List<VmId> names = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            names.add(VmId.of("router-" + i));
        }
        return names;
    }

    private static WaitLimits within(long inTime, long longest) {
        return new WaitLimits(Duration.ofMillis(inTime), Duration.ofMillis(longest));
    }

    private static List<VmId> sixRouters() {
        List<VmId> names = new ArrayList<>();
        for (String name : List.of("a", "b", "c", "d", "e", "f")) {
            names.add(VmId.of(name));
        }
        return names;
    }

    private VmId owner() {
        return stored.owner().orElseThrow();
    }

    private VmId other(int number) {
        return routers.keySet().stream()
                .filter(vm -> !vm.equals(owner()) && !lostRouters.contains(vm))
                .toList()
                .get(number);
    }

    // The tokens that an owner reserves for its next incarnation are released once a request needs
    // them.
    private void spendBurst() {
        Boolean served = true;
        while (Boolean.TRUE.equals(served)) {
            long request = arrive(owner(), 200, within(40, 40));
            advance(50);
            served = admitted.get(request);
        }
    }

    private void start(List<VmId> names) {
        incarnations++;
        for (VmId vm : names) {
            Incarnation incarnation = Incarnation.of(vm.value() + ":" + incarnations);
            routers.put(vm, RateMachine.of(incarnation, vm, "127.0.0.1:1", RateSettings.direct()));
        }
        sendRouterList();
        for (VmId vm : names) {
            feed(vm, new RateInput.WorkspacesConfigured(Map.of(GROWERS, workspace)));
        }
    }

    private void sendRouterList() {
        Set<VmId> listed = new TreeSet<>(routers.keySet());
        listed.removeAll(lostRouters);
        for (VmId vm : listed) {
            feed(
                    vm,
                    new RateInput.RoutersListed(
                            listed, holderCandidates.isEmpty() ? listed : holderCandidates));
        }
    }

    private void advance(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += 10) {
            for (VmId vm : List.copyOf(routers.keySet())) {
                feed(vm, new RateInput.Tick());
            }
        }
    }

    private long arrive(VmId router, long tokens, WaitLimits wait) {
        ExchangeId id = new ExchangeId(Incarnation.of("caller:1"), ++counter);
        feed(router, new RateInput.RequestArrived(id, GROWERS, tokens, Optional.of(wait)));
        return id.counter();
    }

    private void feed(VmId router, RateInput input) {
        if (lostRouters.contains(router)) {
            return;
        }
        for (RateAction action : routers.get(router).on(input, at())) {
            carryOut(router, action);
        }
    }

    private void carryOut(VmId router, RateAction action) {
        if (action instanceof RateAction.AdmitRequest admit) {
            admitted.put(admit.id().counter(), true);
        } else if (action instanceof RateAction.RefuseRequest refuse) {
            admitted.put(refuse.id().counter(), false);
            refuse.refusal()
                    .retryAfter()
                    .ifPresent(retryTime -> retryAfter.put(refuse.id().counter(), retryTime));
        } else if (action instanceof RateAction.ReadShares) {
            read(router);
        } else if (action instanceof RateAction.WriteShares write) {
            write(router, write);
        } else if (action instanceof RateAction.SendTokenRequest ask) {
            feed(
                    ask.to(),
                    new RateInput.TokensRequested(
                            router,
                            GROWERS,
                            ask.tokens(),
                            ask.requestId(),
                            ask.spentTransfers(),
                            ask.waitLimits()));
        } else if (action instanceof RateAction.SendTokenTransfer lend) {
            feed(
                    lend.to(),
                    new RateInput.TransferReceived(
                            router,
                            GROWERS,
                            lend.tokens(),
                            lend.transferId(),
                            lend.queued(),
                            lend.retryAfter()));
        }
    }

    private void write(VmId router, RateAction.WriteShares write) {
        if (write.revision() == revision) {
            stored = ShareTable.parse(write.table().toJson());
            revision++;
        }
        read(router);
    }

    private void read(VmId router) {
        Map<WorkspaceId, RateInput.ShareRow> rows =
                stored == null
                        ? Map.of()
                        : Map.of(GROWERS, new RateInput.ShareRow(stored, revision));
        feed(router, new RateInput.SharesRead(rows, at()));
    }

    private Instant at() {
        return Instant.ofEpochMilli(nowMillis);
    }
}
