package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Departures of upstreams that no watch call delivers, or whose entry can't be read. */
class LostDeparturesTest {
    /** Other seeds: {@code -Ddepartures.first=1000 -Ddepartures.count=20000}. */
    private static final long FIRST_SEED = Long.getLong("departures.first", 1);

    private static final int SEED_COUNT = Integer.getInteger("departures.count", 200);
    private static final Duration PHASE_LENGTH = Duration.ofMillis(100);
    private static final int PHASE_COUNT = 10;
    private static final Duration HIDDEN = Duration.ofSeconds(1);

    /** Twice the time between comparisons, and the age of a listing. */
    private static final Duration COMPARED = Duration.ofSeconds(24);

    /** The same behind relays, where comparisons are rarer. */
    private static final Duration COMPARED_BEHIND_RELAYS = Duration.ofSeconds(244);

    /** How the store ends a time in which it hid changes. */
    private enum EndOfHiding {
        HISTORY_DROPPED(SimulatedStore::dropHistory),
        WATCHES_CUT(
                store -> {
                    store.stopHidingChanges();
                    store.failWaitingCalls();
                }),
        NOTHING_CUT(SimulatedStore::stopHidingChanges);

        private final Consumer<SimulatedStore> end;

        EndOfHiding(Consumer<SimulatedStore> end) {
            this.end = end;
        }
    }

    // Guards against a drained upstream that stays open at all routers, as the store told their
    // watches that nothing had changed up to a revision past its change.
    @ParameterizedTest
    @EnumSource(EndOfHiding.class)
    void anUpstreamDrainsThoughWatchesWereToldThatNothingChanged(EndOfHiding how) {
        assertEquals(List.of(), violations(how, StoreWorld::drainUpstream));
    }

    // Guards against a removed upstream that stays in use for the same reason.
    @ParameterizedTest
    @EnumSource(EndOfHiding.class)
    void anUpstreamLeavesThoughWatchesWereToldThatNothingChanged(EndOfHiding how) {
        assertEquals(List.of(), violations(how, StoreWorld::removeUpstream));
    }

    // Guards against a configuration that is lost for the same reason.
    @ParameterizedTest
    @EnumSource(EndOfHiding.class)
    void aConfigurationIsInForceThoughWatchesWereToldThatNothingChanged(EndOfHiding how) {
        assertEquals(List.of(), violations(how, (world, upstream) -> world.changeConfiguration()));
    }

    // Guards against requests to an upstream whose entry names no usable upstream any more.
    @Test
    void anUpstreamWhoseEntryCannotBeReadGetsNoRequestsUntilItCanBeReadAgain() {
        StoreWorld world = new StoreWorld();
        world.spoilEntry(world.liveUpstreams().get(0), Duration.ofSeconds(5));
        world.advance(Duration.ofSeconds(9));
        assertEquals(List.of(), world.violations());
    }

    // Guards against a change that no answer ever tells, at routers that ask the store and at those
    // behind them.
    @ParameterizedTest
    @ValueSource(ints = {0, 3})
    void aDepartureThatNoAnswerTellsIsFoundByAComparison(int behind) {
        StoreWorld world = new StoreWorld(StorePollTimings.CONFIGURATION, 2, behind);
        Duration compared = behind == 0 ? COMPARED : COMPARED_BEHIND_RELAYS;
        String lost = world.liveUpstreams().get(0);
        world.loseNextChange();
        world.drainUpstream(lost);
        world.changeConfiguration();
        world.addUpstream();
        world.advance(compared);
        assertEquals(List.of(), world.routers().stream().filter(each -> each.uses(lost)).toList());
    }

    // Guards against a departure that any mix of faults, hidden changes and unreadable entries
    // keeps from a router.
    @Test
    void anyMixOfFaultsAndLostChangesKeepsTheGuarantees() {
        assertEquals("", firstViolationsOf(false));
    }

    // Guards against the same for routers behind relays.
    @Test
    void anyMixOfFaultsAndLostChangesKeepsTheGuaranteesBehindRelays() {
        assertEquals("", firstViolationsOf(true));
    }

    /** What happens to an upstream, or beside it, while changes are hidden. */
    private interface Change {
        void make(StoreWorld world, String upstream);
    }

    private static List<String> violations(EndOfHiding how, Change change) {
        List<String> violations = new ArrayList<>();
        for (int phase = 0; phase < PHASE_COUNT; phase++) {
            StoreWorld world = new StoreWorld();
            world.advance(PHASE_LENGTH.multipliedBy(phase));
            world.hideChanges(HIDDEN, how.end);
            change.make(world, world.liveUpstreams().get(0));
            world.advance(Duration.ofSeconds(9));
            violations.addAll(world.violations());
        }
        return violations;
    }

    private static String firstViolationsOf(boolean relays) {
        int broken = 0;
        String first = "";
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            StoreWorld world =
                    relays
                            ? new StoreWorld(StorePollTimings.CONFIGURATION, 2, 3)
                            : new StoreWorld();
            new StoreTroubles(world, seed).withLostChanges().play();
            if (!world.violations().isEmpty()) {
                broken++;
                first = first.isEmpty() ? seed + ": " + String.join("\n", world.eventLog()) : first;
            }
        }
        return first.isEmpty() ? "" : broken + " seeds; first " + first;
    }
}
