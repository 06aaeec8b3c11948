package io.damaskyoke.control.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeaseMachineTest {
    private static final Duration TERM = Duration.ofSeconds(2);

    private final LeaseMachine machine = new LeaseMachine(TERM);
    private Instant now = Instant.ofEpochSecond(100);

    @Test
    void aLeaderThatResignsRevokesItsOwnLeaseAndHoldsNothing() {
        // Guards against a slow leader that removes the key by name when it resigns, again at each
        // slow tick, and so removes the keys of its successors.
        hold(7);
        assertEquals(
                List.of(new LeaseAction.RevokeLease(7), new LeaseAction.StopLeading()),
                machine.on(new LeaseInput.Resigned(), now));
        assertFalse(machine.isHeld(now));
        assertEquals(List.of(), machine.on(new LeaseInput.Resigned(), now));
    }

    @Test
    void aLateRenewalAfterAResignationChangesNothing() {
        hold(7);
        machine.on(new LeaseInput.Resigned(), now);
        machine.on(new LeaseInput.KeepAliveAnswered(true, now), now);
        assertFalse(machine.isHeld(now));
    }

    @Test
    void aLeaderStopsBeforeItsLeaseCanHaveExpired() {
        hold(7);
        assertTrue(machine.isHeld(now.plusMillis(1_700)));
        assertFalse(machine.isHeld(now.plusMillis(1_800)));
    }

    private void hold(long lease) {
        machine.on(new LeaseInput.Tick(), now);
        machine.on(new LeaseInput.Granted(lease), now);
        machine.on(new LeaseInput.Acquired(true), now);
        assertTrue(machine.isHeld(now));
    }
}
