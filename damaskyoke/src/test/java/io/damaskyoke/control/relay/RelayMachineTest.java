package io.damaskyoke.control.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.platform.VmList.Role;
import io.damaskyoke.platform.VmList.State;
import io.damaskyoke.platform.VmList.Vm;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class RelayMachineTest {
    private static final Instant START = Instant.parse("2026-12-01T00:00:00Z");
    private static final Vm ONE = vm("router-1");
    private static final Vm TWO = vm("router-2");
    private static final Vm SELF = vm("agent-1", Role.AGENT);

    private final RelayMachine machine =
            RelayMachine.of(
                    SELF.id(),
                    AvailabilityZone.of("kochi-1"),
                    RelaySettings.defaults(),
                    new SplittableRandom(1));
    private final StringBuilder session = new StringBuilder();
    private Instant now = START;

    /**
     * Guards against a process that was stopped for a minute and serves requests with a withdrawn
     * key: the answer says "confirmed 100 ms ago" and was in the buffers for a minute. The naive
     * version counts from its arrival and would treat the configuration as confirmed now; callers
     * must be refused as not executed instead.
     */
    @Test
    void aConfirmationCountsFromWhenThePeerWasAsked() {
        feed(new RelayInput.VmsListed(List.of(ONE, TWO, SELF)));
        RelayAction.ProbePeer probe = probes(feed(new RelayInput.Tick())).get(0);
        Instant asked = now;
        now = now.plusSeconds(60);
        Duration age = Duration.ofMillis(100);
        List<RelayAction> actions =
                feed(
                        new RelayInput.ProbeAnswered(
                                probe.peer().id(), probe.number(), 7, Optional.of(age)));
        assertEquals(List.of(new RelayAction.Confirm(7, asked.minus(age))), actions);
        assertEquals(now.minus(age), naiveConfirmation(now, age));
    }

    /** Counts from the arrival of the answer, as a push without a timestamp would. */
    private static Instant naiveConfirmation(Instant arrival, Duration age) {
        return arrival.minus(age);
    }

    @Test
    void anUnsolicitedOrRepeatedAnswerConfirmsNothing() {
        feed(new RelayInput.VmsListed(List.of(ONE, TWO, SELF)));
        RelayAction.ProbePeer probe = probes(feed(new RelayInput.Tick())).get(0);
        RelayInput answer = answer(probe, 1);
        assertEquals(1, feed(answer).size());
        assertEquals(List.of(), feed(answer));
        assertEquals(
                List.of(),
                feed(new RelayInput.ProbeAnswered(ONE.id(), 99, 1, Optional.of(Duration.ZERO))));
    }

    @Test
    void aWholeSession() {
        feed(new RelayInput.VmsListed(List.of(ONE, TWO, SELF)));
        note("both relays answer");
        run(4, ONE, TWO);
        note("router-1 is frozen");
        run(6, TWO);
        note("router-2 is frozen too");
        run(16);
        note("both relays answer again");
        run(4, ONE, TWO);
        note("router-2 is no longer listed: this process becomes a relay");
        feed(new RelayInput.VmsListed(List.of(ONE, SELF)));
        run(3, ONE);
        Approvals.verify(session);
    }

    private void run(int seconds, Vm... answering) {
        for (int quarter = 0; quarter < 4 * seconds; quarter++) {
            now = now.plusMillis(250);
            for (RelayAction.ProbePeer probe : probes(feed(new RelayInput.Tick()))) {
                if (List.of(answering).contains(probe.peer())) {
                    feed(answer(probe, 5));
                }
            }
        }
    }

    private List<RelayAction> feed(RelayInput input) {
        List<RelayAction> actions = machine.on(input, now);
        for (RelayAction action : actions) {
            session.append(Duration.between(START, now).toMillis()).append(" ms ");
            session.append(text(action)).append('\n');
        }
        return actions;
    }

    private void note(String what) {
        session.append("-- ").append(what).append('\n');
    }

    private static String text(RelayAction action) {
        if (action instanceof RelayAction.ProbePeer probe) {
            return "probe " + probe.number() + " to " + probe.peer().id();
        }
        if (action instanceof RelayAction.Confirm confirm) {
            return "confirm "
                    + confirm.head()
                    + " as of "
                    + Duration.between(START, confirm.asOf()).toMillis()
                    + " ms";
        }
        if (action instanceof RelayAction.FollowRelays follow) {
            return "follow " + follow.relays().stream().map(Vm::id).toList();
        }
        return action.toString();
    }

    private static List<RelayAction.ProbePeer> probes(List<RelayAction> actions) {
        List<RelayAction.ProbePeer> probes = new ArrayList<>();
        for (RelayAction action : actions) {
            if (action instanceof RelayAction.ProbePeer probe) {
                probes.add(probe);
            }
        }
        return probes;
    }

    private static RelayInput answer(RelayAction.ProbePeer probe, long head) {
        return new RelayInput.ProbeAnswered(
                probe.peer().id(), probe.number(), head, Optional.of(Duration.ofMillis(500)));
    }

    private static Vm vm(String id) {
        return vm(id, Role.ROUTER);
    }

    private static Vm vm(String id, Role role) {
        return RelayPlanTest.vm(id, role, "kochi-1", State.LIVE);
    }
}
