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
    private final Set<VmId> lost = new TreeSet<>();
    private final Map<Long, Boolean> verdicts = new HashMap<>();
    private final Map<Long, Duration> comeBack = new HashMap<>();
    private ShareTable stored;
    private long revision;
    private long millis = 1_000;
    private int lives;
    private long counter;
    private Workspace workspace = new Workspace(GROWERS, RATE, BURST, 1);

    @Test
    void oneOfSixRoutersHasMostOfAWorkspace() {
        start(six());
        pass(6_000);
        assertEquals(6, stored.shares().size());
        assertTrue(stored.owner().isPresent(), stored.toString());
    }

    @Test
    void aRequestOfHalfABurstIsServedAtAnyRouterAtOnce() {
        // Guards against even shares: a request for 3,000 of a burst of 6,000 is three times an
        // even part and needs transfers from four routers. Two such requests at two routers would
        // each get a part of what both need, and neither be served.
        start(six());
        pass(6_000);
        long one = arrive(other(0), 3_000, PATIENT);
        pass(20);
        assertEquals(true, verdicts.get(one));
    }

    @Test
    void aRequestWaitsInTheOwnersLineUntilItsTokensHaveComeIn() {
        // Guards against an early refusal. The burst is spent and the next request lacks 1,000
        // tokens, which accrue within 1.5 seconds while its caller can wait. If refused, it would
        // be retried a second later.
        start(six());
        pass(6_000);
        spendAll();
        long waits = arrive(other(0), 1_000, PATIENT);
        pass(100);
        assertFalse(verdicts.containsKey(waits));
        pass(1_500);
        assertEquals(true, verdicts.get(waits));
    }

    @Test
    void whatIsSetAsideForARequestIsNotFilledUpMeanwhile() {
        // Guards against spending beyond the burst: a router sets its few tokens aside for a
        // request that waits at the owner for the rest. If its bucket refilled beside them, both
        // would be spent at the same moment.
        start(six());
        pass(6_000);
        VmId router = other(0);
        lost.add(owner());
        long waits = arrive(router, 1_000, PATIENT);
        pass(40);
        assertFalse(verdicts.containsKey(waits));
        assertEquals(0, (long) routers.get(router).available(GROWERS));
    }

    @Test
    void aRequestThatWaitsAtTheOwnerIsAnsweredThoughItsWorkspaceIsTakenAway() {
        // Guards against a lost answer: a ticket removes the workspace while a request waits in the
        // owner's queue. If its router dropped the workspace at once, the owner's answer would be
        // ignored and the caller would wait until its own timeout.
        start(six());
        pass(6_000);
        spendAll();
        VmId router = other(0);
        long waits = arrive(router, 1_000, PATIENT);
        pass(20);
        feed(router, new RateInput.WorkspacesConfigured(Map.of()));
        pass(2_500);
        assertTrue(verdicts.containsKey(waits));
    }

    @Test
    void aSmallUrgentRequestIsNotPutBehindALargePatientOne() {
        // Guards against head-of-line blocking: a request for 1,000 tokens waits at one router, and
        // one for 50 that is late after a tenth of a second arrives at another. Behind the large
        // one it would be refused.
        start(six());
        pass(6_000);
        spendAll();
        long report = arrive(other(0), 1_000, PATIENT);
        pass(20);
        long payment = arrive(other(1), 50, URGENT);
        pass(150);
        assertEquals(true, verdicts.get(payment));
        assertFalse(verdicts.containsKey(report));
        pass(1_500);
        assertEquals(true, verdicts.get(report));
    }

    @Test
    void whatCannotComeInTimeIsRefusedAtOnceWithWhenItCan() {
        // Guards against a late refusal: the burst is spent and 5,000 tokens take at least five
        // seconds. If the request were queued until its timeout, the caller would learn the same
        // two seconds later.
        start(six());
        pass(6_000);
        spendAll();
        long large = arrive(other(0), 5_000, PATIENT);
        pass(150);
        assertEquals(false, verdicts.get(large));
        assertTrue(comeBack.get(large).toMillis() >= 4_500, comeBack.toString());
    }

    @Test
    void aSmallRequestIsServedFromStandbyPartsWhileTheOwnerIsLost() {
        // The owner dies: the others cannot borrow from it, and nobody may reclaim its part yet.
        // Each has a small part of its own.
        start(six());
        pass(6_000);
        VmId router = other(0);
        lost.add(owner());
        long payment = arrive(router, 200, URGENT);
        pass(200);
        assertEquals(true, verdicts.get(payment));
    }

    @Test
    void theOwnerIsFollowedSoonAfterItIsGoneForGood() {
        // Guards against an outage after the owner's VM is gone and off the list: as long as its
        // part is not reclaimed, all large requests of the workspace are refused.
        start(six());
        pass(6_000);
        VmId gone = owner();
        lost.add(gone);
        list();
        pass(14_000);
        assertTrue(stored.owner().isPresent(), stored.toString());
        assertFalse(stored.owner().get().equals(gone));
        long large = arrive(other(0), 3_000, PATIENT);
        pass(1_500);
        assertEquals(true, verdicts.get(large));
    }

    // Guards against a workspace that is refused for a dozen seconds because its owner's VM is
    // gone.
    @Test
    void aWorkspaceIsServedAgainSoonAfterItsOwnersVmIsGone() {
        start(many());
        pass(8_000);
        lost.add(owner());
        list();
        pass(8_000);
        long large = arrive(other(0), 3_000, PATIENT);
        pass(1_500);
        assertEquals(true, verdicts.get(large));
    }

    @Test
    void afterARestartOfAllTheOwnerTakesItsPartFirst() {
        // Guards against lost writes after all routers are killed and start at once: if each wrote
        // its small part into the row first, the owner would lose one race after another, and all
        // routers would wait for it.
        start(six());
        pass(6_000);
        VmId before = owner();
        start(six());
        pass(300);
        assertEquals(Optional.of(before), stored.owner());
        long after = arrive(other(0), 200, URGENT);
        pass(450);
        assertEquals(true, verdicts.get(after));
    }

    // Guards against refusals within the rate because the remaining tokens are spread over dozens
    // of routers, too few at each for a request.
    @Test
    void withManyRoutersRequestsWithinTheRateAreServedThoughAnEvenShareIsLarge() {
        workspace = new Workspace(GROWERS, 9_000, 33_000, 1);
        start(many());
        pass(6_000);
        List<Long> asked = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            VmId router = List.copyOf(routers.keySet()).get(i * 7 % routers.size());
            asked.add(arrive(router, 1_500, PATIENT));
            pass(190);
        }
        pass(2_000);
        assertEquals(0, asked.stream().filter(each -> !verdicts.get(each)).count());
    }

    // Guards against a token request to the owner for each request, which a slow owner answers
    // late.
    @Test
    void anOwnerWithPlentyLendsWhatTheNextRequestsOfARouterNeed() {
        start(six());
        pass(6_000);
        VmId router = other(0);
        assertEquals(true, verdict(arrive(router, 1_000, PATIENT)));
        lost.add(owner());
        assertEquals(true, verdict(arrive(router, 400, PATIENT)));
    }

    // Guards against refusals within the rate after a restart of all routers, when the workspace's
    // owner is on the slowest VM and starts last.
    @Test
    void afterARestartOfAllRequestsWaitForAnOwnerThatStartsSlowly() {
        start(many());
        pass(8_000);
        VmId slow = owner();
        lost.add(slow);
        List<VmId> quick = many();
        quick.remove(slow);
        start(quick);
        pass(2_300);
        long waits = arrive(quick.get(0), 500, PATIENT);
        pass(700);
        assertFalse(verdicts.containsKey(waits));
        lost.remove(slow);
        start(List.of(slow));
        pass(900);
        assertEquals(true, verdicts.get(waits));
    }

    private Boolean verdict(long request) {
        pass(20);
        return verdicts.get(request);
    }

    private static List<VmId> many() {
        List<VmId> names = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            names.add(VmId.of("router-" + i));
        }
        return names;
    }

    private static WaitLimits within(long inTime, long longest) {
        return new WaitLimits(Duration.ofMillis(inTime), Duration.ofMillis(longest));
    }

    private static List<VmId> six() {
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
                .filter(vm -> !vm.equals(owner()) && !lost.contains(vm))
                .toList()
                .get(number);
    }

    // The tokens that an owner reserves for its next incarnation are released once a request needs
    // them.
    private void spendAll() {
        Boolean served = true;
        while (Boolean.TRUE.equals(served)) {
            long request = arrive(owner(), 200, within(40, 40));
            pass(50);
            served = verdicts.get(request);
        }
    }

    private void start(List<VmId> names) {
        lives++;
        for (VmId vm : names) {
            Incarnation life = Incarnation.of(vm.value() + ":" + lives);
            routers.put(vm, RateMachine.of(life, vm, "127.0.0.1:1", RateSettings.direct()));
        }
        list();
        for (VmId vm : names) {
            feed(vm, new RateInput.WorkspacesConfigured(Map.of(GROWERS, workspace)));
        }
    }

    private void list() {
        Set<VmId> listed = new TreeSet<>(routers.keySet());
        listed.removeAll(lost);
        for (VmId vm : listed) {
            feed(vm, new RateInput.RoutersListed(listed));
        }
    }

    private void pass(long time) {
        for (long end = millis + time; millis < end; millis += 10) {
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
        if (lost.contains(router)) {
            return;
        }
        for (RateAction action : routers.get(router).on(input, at())) {
            carryOut(router, action);
        }
    }

    private void carryOut(VmId router, RateAction action) {
        if (action instanceof RateAction.AdmitRequest admit) {
            verdicts.put(admit.id().counter(), true);
        } else if (action instanceof RateAction.RefuseRequest refuse) {
            verdicts.put(refuse.id().counter(), false);
            refuse.refusal()
                    .retryAfter()
                    .ifPresent(time -> comeBack.put(refuse.id().counter(), time));
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
        return Instant.ofEpochMilli(millis);
    }
}
