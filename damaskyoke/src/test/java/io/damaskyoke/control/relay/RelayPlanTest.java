package io.damaskyoke.control.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList.Role;
import io.damaskyoke.platform.VmList.State;
import io.damaskyoke.platform.VmList.Vm;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RelayPlanTest {
    private static final AvailabilityZone KOCHI = AvailabilityZone.of("kochi-1");

    @Test
    void aZoneHasTwoRelaysAndRoutersGoFirst() {
        List<Vm> list =
                List.of(
                        vm("agent-1", Role.AGENT, "kochi-1", State.LIVE),
                        vm("router-1", Role.ROUTER, "kochi-1", State.LIVE),
                        vm("router-2", Role.ROUTER, "kochi-1", State.LEAVING),
                        vm("router-3", Role.ROUTER, "kochi-2", State.LIVE));
        assertEquals(List.of("router-1", "agent-1"), ids(RelayPlan.of(list, KOCHI).relays()));
        assertEquals(
                List.of("agent-1"), ids(RelayPlan.of(list, KOCHI).parents(VmId.of("router-1"))));
    }

    @Test
    void anUnlistedProcessHasParentsToo() {
        List<Vm> list = List.of(vm("router-1", Role.ROUTER, "kochi-1", State.LIVE));
        assertEquals(List.of("router-1"), ids(RelayPlan.of(list, KOCHI).parents(VmId.of("new"))));
    }

    @Test
    void inALargeZoneNoProcessServesManyAndALossMovesFewProcesses() {
        List<Vm> list = zone(185);
        RelayPlan plan = RelayPlan.of(list, KOCHI);
        Map<VmId, Integer> children = new HashMap<>();
        list.forEach(
                vm ->
                        plan.parents(vm.id())
                                .forEach(parent -> children.merge(parent.id(), 1, Integer::sum)));
        assertTrue(children.values().stream().allMatch(count -> count <= 32), children.toString());

        List<Vm> without = new ArrayList<>(list);
        without.remove(plan.branches().get(3));
        RelayPlan next = RelayPlan.of(without, KOCHI);
        long moved = without.stream().filter(vm -> !set(plan, vm).equals(set(next, vm))).count();
        assertEquals(plan.relays(), next.relays());
        assertTrue(moved < 60, "processes with another parent: " + moved);
    }

    @Test
    void noProcessFollowsItselfAndFollowingEndsAtTheRelays() {
        List<Vm> list = zone(185);
        RelayPlan plan = RelayPlan.of(list, KOCHI);
        for (Vm vm : list) {
            assertFalse(set(plan, vm).contains(vm.id()));
            for (Vm parent : plan.parents(vm.id())) {
                assertTrue(
                        plan.relays().contains(parent)
                                || plan.relays().containsAll(plan.parents(parent.id())));
            }
        }
    }

    private static Set<VmId> set(RelayPlan plan, Vm vm) {
        return new HashSet<>(plan.parents(vm.id()).stream().map(Vm::id).toList());
    }

    private static List<Vm> zone(int size) {
        List<Vm> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(vm("vm-" + i, i % 7 == 0 ? Role.ROUTER : Role.AGENT, "kochi-1", State.LIVE));
        }
        return list;
    }

    private static List<String> ids(List<Vm> vms) {
        return vms.stream().map(vm -> vm.id().value()).toList();
    }

    static Vm vm(String id, Role role, String zone, State state) {
        return new Vm(VmId.of(id), role, AvailabilityZone.of(zone), "10.0.0.1", 7400, 8081, state);
    }
}
