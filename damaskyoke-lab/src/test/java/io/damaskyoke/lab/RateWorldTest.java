package io.damaskyoke.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.control.rates.WaitLimits;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RateWorldTest {
    private static final WorkspaceId KITCHENS = WorkspaceId.of("kitchens");
    private static final double RATE = 100;
    private static final double BURST = 500;
    private static final double ROUNDING = 1e-3;

    /** Counts only where there are owners. */
    private static final WaitLimits WAIT =
            new WaitLimits(Duration.ofMillis(300), Duration.ofMillis(1_500));

    private final Map<ExchangeId, Long> waiting = new HashMap<>();
    private final Set<ExchangeId> answered = new HashSet<>();
    private RateSettings settings = RateSettings.defaults();
    private SpendLog spent;
    private int admitted;
    private int doubled;
    private long counter;
    private RateWorld world;

    @Property(seed = "21", tries = 20)
    void noWindowHasMoreThanRateAndBurst(@ForAll long seed) {
        // A workspace sends many times its rate in bursts, while routers are killed, replaced,
        // frozen past the taking back of their share and thawed, the store is out and loses answers
        // of writes that land late, and loans are lost, doubled and late. Every token made by any
        // of that would show as a window with more than its rate and burst.
        windowsUnderFailures(seed);
    }

    @Property(seed = "24", tries = 20)
    void withOwnersNoWindowHasMoreThanRateAndBurst(@ForAll long seed) {
        // The same failures where one router has most of the workspace and the others wait in its
        // line: owners change as routers come and go, and their answers are lost, doubled and late.
        settings = RateSettings.direct();
        windowsUnderFailures(seed);
    }

    private void windowsUnderFailures(long seed) {
        begin(seed);
        Random random = new Random(seed);
        world.lostAnswers = 0.2;
        world.lostFrames = 0.1;
        world.doubledFrames = 0.2;
        world.slowestFrameMillis = 1 + random.nextInt(4_000);
        for (int i = 0; i < 3; i++) {
            world.start("router-" + i);
        }
        load(random);
        world.run(Duration.ofSeconds(20));
        for (int step = 0; step < 40; step++) {
            disturb(random);
            world.run(Duration.ofSeconds(1 + random.nextInt(30)));
        }
        assertTrue(admitted > 0);
        judge();
    }

    @Property(seed = "23", tries = 60)
    void noMomentHasMoreThanTheBurstToSpend(@ForAll long seed) {
        quietThenEmptied(seed, 0);
        assertTrue(admitted > 0);
        judge();
    }

    @Property(seed = "25", tries = 60)
    void withOwnersNoMomentHasMoreThanTheBurstToSpend(@ForAll long seed) {
        settings = RateSettings.direct();
        quietThenEmptied(seed, 0);
        assertTrue(admitted > 0);
        judge();
    }

    @ParameterizedTest
    @ValueSource(longs = {162, 544})
    void aLenderThatIsAskedTwiceKeepsItsCapLoweredByTheWholeLoan(long seed) {
        // The callers of a workspace together get 528 tokens of a burst of 500. A frame that asks
        // for a loan comes twice; the second, smaller loan takes the first one's place in the
        // lender's book, and the lender refills what the borrower still holds.
        quietThenEmptied(seed, 0.5);
        judge();
    }

    private void quietThenEmptied(long seed, double lostReads) {
        // Under steady load buckets are never full, so a cap that is too high makes no token. Here
        // all is quiet until the buckets are full; then shares move to a router that only asks, or
        // a loan comes too late for its request; a router that the list never showed is cut off
        // from the others; and then all routers are emptied in the same instant.
        begin(seed);
        Random random = new Random(seed);
        world.lostReads = lostReads;
        world.lostAnswers = 0.1;
        world.doubledFrames = 0.2;
        world.slowestFrameMillis = 300 + random.nextInt(1_200);
        world.neverListed.add(VmId.of("router-3"));
        int routers = 2 + random.nextInt(3);
        for (int i = 4 - routers; i < 4; i++) {
            world.start("router-" + i);
        }
        for (int step = 0; step < 40; step++) {
            world.run(Duration.ofMillis(6_000 + random.nextInt(6_000)));
            tempt(random);
            drain();
            world.run(Duration.ofSeconds(1));
        }
    }

    private void judge() {
        assertEquals(0, doubled);
        assertTrue(spent.mostBeyondRate() <= BURST + ROUNDING, () -> "" + spent.mostBeyondRate());
    }

    @Property(seed = "22", tries = 5)
    void loansNeverMakeTokens(@ForAll long seed) {
        // One router borrows in bursts; loans come late, twice or never. Were the lender to refill
        // what it has lent before the borrower has spent it, the routers together would hold more
        // than the burst, and could spend it at once.
        tokensUnderLoans(seed);
    }

    @Property(seed = "26", tries = 5)
    void withOwnersLoansNeverMakeTokens(@ForAll long seed) {
        settings = RateSettings.direct();
        tokensUnderLoans(seed);
    }

    private void tokensUnderLoans(long seed) {
        begin(seed);
        Random random = new Random(seed);
        world.doubledFrames = 0.3;
        world.lostFrames = 0.1;
        world.slowestFrameMillis = 1_500;
        for (int i = 0; i < 3; i++) {
            world.start("router-" + i);
        }
        world.run(Duration.ofSeconds(20));
        for (int step = 0; step < 1_200; step++) {
            if (random.nextInt(10) == 0) {
                arrive("router-0", 1 + random.nextInt(250));
            }
            world.run(Duration.ofMillis(50));
            double held =
                    world.routers.values().stream()
                            .mapToDouble(router -> router.machine.available(KITCHENS))
                            .sum();
            assertTrue(held <= BURST + ROUNDING, () -> "routers hold " + held);
        }
    }

    @Test
    void aFullBucketOfTheWholeRateAtEachRouterGivesTheWorkspaceManyTimesItsRate() {
        // The naive version: each router limits by itself. Two routers let twice the burst through.
        SpendLog[] routers = {new SpendLog(RATE), new SpendLog(RATE)};
        begin(1);
        for (SpendLog router : routers) {
            while (router.fits(50, BURST, world.now())) {
                router.spent(50, world.now());
                spent.spent(50, world.now());
            }
        }
        assertEquals(2 * BURST, spent.mostBeyondRate());
    }

    @Test
    void theWholeBurstCanBeSpentAtARouterWithASmallShare() {
        // A burst comes in at one router; two thirds of the tokens are at the others. Refusing it
        // would be wrong, since the workspace has spent nothing.
        begin(2);
        world.start("router-0");
        world.run(Duration.ofSeconds(10));
        world.start("router-1");
        world.start("router-2");
        world.run(Duration.ofSeconds(30));
        arrive("router-2", 480);
        world.run(Duration.ofSeconds(1));
        assertEquals(1, admitted);
    }

    @Test
    void aFrozenRouterSpendsNothingBeforeItHasReadTheStore() {
        // It froze with tokens in its bucket and was taken off the list; its share was taken back.
        // What piled up before it is handled first at its thaw, with the store cut off from it.
        begin(3);
        world.start("router-0");
        world.start("router-1");
        world.run(Duration.ofSeconds(10));
        world.freeze("router-0");
        arrive("router-0", 10);
        world.listed.remove(VmId.of("router-0"));
        world.run(Duration.ofMinutes(3));
        ShareTable table = world.rows.get(KITCHENS).table();
        assertEquals(1, table.shares().size());
        world.storeDown = true;
        world.thaw("router-0");
        arrive("router-0", 10);
        world.run(Duration.ofSeconds(1));
        assertEquals(0, admitted);
    }

    @Test
    void aRouterThatIsOnlySilentKeepsItsShare() {
        begin(4);
        world.start("router-0");
        world.start("router-1");
        world.run(Duration.ofSeconds(10));
        world.freeze("router-0");
        world.run(Duration.ofMinutes(10));
        assertEquals(2, world.rows.get(KITCHENS).table().shares().size());
    }

    @Test
    void routersGoOnSpendingWhileTheStoreIsOut() {
        begin(5);
        world.start("router-0");
        world.start("router-1");
        world.run(Duration.ofSeconds(10));
        world.storeDown = true;
        world.run(Duration.ofMinutes(5));
        arrive("router-0", 10);
        arrive("router-1", 10);
        world.run(Duration.ofSeconds(1));
        assertEquals(2, admitted);
    }

    @Test
    void aSmallRequestBehindALargeOneIsServedWhenThatIsRefused() {
        // A large request waits for tokens that nobody lends; a small one comes in behind it. When
        // the large one's time is up so is nearly that of the small one, which must not be refused
        // with it: there are tokens for it.
        begin(7);
        world.start("router-0");
        world.run(Duration.ofSeconds(10));
        world.start("router-1");
        world.run(Duration.ofSeconds(30));
        world.freeze("router-1");
        arrive("router-0", 480);
        arrive("router-0", 1);
        world.run(Duration.ofSeconds(1));
        assertEquals(1, admitted);
        assertEquals(2, answered.size());
    }

    @Test
    void aRouterThatLeavesGivesItsShareBackAtOnce() {
        begin(6);
        world.start("router-0");
        world.start("router-1");
        world.run(Duration.ofSeconds(10));
        RateWorld.Router leaving = world.routers.get(VmId.of("router-0"));
        world.feed(leaving, new RateInput.LeaveRequested());
        world.run(Duration.ofSeconds(1));
        assertTrue(leaving.machine.holdsNoShares());
        Incarnation left = leaving.incarnation;
        assertTrue(world.rows.get(KITCHENS).table().share(left).isEmpty());
    }

    private void tempt(Random random) {
        List<RateWorld.Router> alive =
                world.routers.values().stream().filter(one -> one.alive && !one.frozen).toList();
        if (alive.isEmpty()) {
            world.start("router-" + random.nextInt(4));
            return;
        }
        String router = alive.get(random.nextInt(alive.size())).vm.value();
        switch (random.nextInt(5)) {
            case 0 -> {
                arrive(router, 300 + random.nextInt(190));
                world.run(Duration.ofMillis(300 + random.nextInt(4_000)));
            }
            case 1 -> askWithoutSpending(router, random);
            case 2 -> cutOffTheUnlisted(random);
            case 3 -> world.cutOff.clear();
            default -> {
                disturb(random);
                world.storeDown = false;
                world.run(Duration.ofSeconds(random.nextInt(20)));
            }
        }
    }

    // The others take it for gone after 30 s. It still reads the store, though not every read gets
    // through; so it learns late what they did with its share.
    private void cutOffTheUnlisted(Random random) {
        VmId unlisted = VmId.of("router-3");
        world.cutOff.clear();
        if (!world.routers.containsKey(unlisted) || !world.routers.get(unlisted).alive) {
            world.start("router-3");
        }
        world.run(Duration.ofSeconds(15));
        world.cutOff.add(unlisted);
        world.run(Duration.ofMillis(30_000 + random.nextInt(8_000)));
    }

    // What is larger than the burst is refused, and counts as demand: shares move to that router
    // while all buckets stay full.
    private void askWithoutSpending(String router, Random random) {
        int asks = 5 + random.nextInt(20);
        for (int i = 0; i < asks; i++) {
            arrive(router, (long) BURST + 1);
            world.run(Duration.ofMillis(500));
        }
    }

    private void drain() {
        for (RateWorld.Router router : List.copyOf(world.routers.values())) {
            world.feed(router, new RateInput.Tick());
            long tokens = (long) router.machine.available(KITCHENS);
            if (router.alive && tokens > 0) {
                arrive(router.vm.value(), tokens);
            }
        }
    }

    private void begin(long seed) {
        waiting.clear();
        answered.clear();
        spent = new SpendLog(RATE);
        admitted = 0;
        doubled = 0;
        Workspace workspace = new Workspace(KITCHENS, RATE, BURST, 1);
        world = new RateWorld(seed, settings, Map.of(KITCHENS, workspace), this::verdict);
    }

    private void verdict(ExchangeId id, boolean in) {
        doubled += answered.add(id) ? 0 : 1;
        if (in) {
            admitted++;
            spent.spent(waiting.get(id), world.now());
        }
    }

    private void arrive(String router, long tokens) {
        RateWorld.Router there = world.routers.get(VmId.of(router));
        ExchangeId id = new ExchangeId(there.incarnation, ++counter);
        waiting.put(id, tokens);
        world.feed(there, new RateInput.RequestArrived(id, KITCHENS, tokens, Optional.of(WAIT)));
    }

    private void load(Random random) {
        boolean burst = world.now().getEpochSecond() % 12 < 4;
        for (RateWorld.Router router : List.copyOf(world.routers.values())) {
            for (int i = 0; burst && i < random.nextInt(8); i++) {
                arrive(router.vm.value(), 1 + random.nextInt(100));
            }
        }
        world.after(Duration.ofMillis(300), () -> load(random));
    }

    private void disturb(Random random) {
        String router = "router-" + random.nextInt(4);
        boolean known = world.routers.containsKey(VmId.of(router));
        switch (random.nextInt(7)) {
            case 0 -> world.start(router);
            case 1 -> world.storeDown = !world.storeDown;
            case 2 -> world.listed.remove(VmId.of(router));
            case 3 -> {
                if (!world.neverListed.contains(VmId.of(router))) {
                    world.listed.add(VmId.of(router));
                }
            }
            case 4 -> {
                if (known) {
                    world.kill(router);
                }
            }
            case 5 -> {
                if (known) {
                    world.freeze(router);
                }
            }
            default -> {
                if (known) {
                    world.thaw(router);
                }
            }
        }
    }
}
