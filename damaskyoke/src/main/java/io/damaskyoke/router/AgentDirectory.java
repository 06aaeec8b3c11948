package io.damaskyoke.router;

import io.damaskyoke.control.routing.AgentEndpoint;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.Registration;
import io.damaskyoke.platform.VmList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keeps a router's {@link Fleet} up to date from the agents' registrations and the list of VMs.
 * While either of them can't be read, the directory gets no update and keeps the last state, so
 * that an outage of the platform takes no agent out of service. Control thread only.
 */
final class AgentDirectory {
    private final Fleet fleet;
    private final Metrics metrics;
    private final Map<VmId, Registration> registered = new TreeMap<>();
    private final Set<VmId> everListed = new HashSet<>();
    private Set<VmId> listed = Set.of();
    private Set<VmId> leaving = Set.of();

    AgentDirectory(Fleet fleet, Metrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    /** Applies the list of VMs as it was read from the platform. */
    void updateVmList(List<VmList.Vm> vms) {
        Set<VmId> present = new HashSet<>();
        Set<VmId> nowLeaving = new HashSet<>();
        for (VmList.Vm vm : vms) {
            present.add(vm.id());
            if (vm.state() == VmList.State.LEAVING) {
                nowLeaving.add(vm.id());
            }
        }
        everListed.addAll(present);
        listed = present;
        leaving = nowLeaving;
        publish();
    }

    /** Applies the complete set of stored agent registrations, each in its stored form. */
    void updateRegistrations(List<byte[]> found) {
        Map<VmId, Registration> now = new TreeMap<>();
        found.forEach(value -> read(value, now));
        now.values().forEach(this::detectRestart);
        registered.clear();
        registered.putAll(now);
        publish();
    }

    private void read(byte[] value, Map<VmId, Registration> into) {
        try {
            Registration registration = Registration.parse(value);
            into.put(registration.vm(), registration);
        } catch (PlatformException e) {
            metrics.count("agent_registrations_unreadable");
        }
    }

    private void detectRestart(Registration registration) {
        Registration before = registered.get(registration.vm());
        if (before != null && !before.incarnation().equals(registration.incarnation())) {
            fleet.markRestarted(registration.vm());
        }
    }

    private void publish() {
        List<AgentEndpoint> present = new ArrayList<>();
        for (Registration agent : registered.values()) {
            if (!removedFromList(agent.vm())) {
                present.add(
                        new AgentEndpoint(
                                agent.vm(),
                                agent.pool(),
                                agent.zone(),
                                agent.host(),
                                agent.port()));
            }
        }
        fleet.update(present, leaving);
    }

    // The list lags, so a VM that was never listed may have just started. A VM that was listed
    // before and is missing now is gone, and its registration is stale.
    private boolean removedFromList(VmId vm) {
        return everListed.contains(vm) && !listed.contains(vm);
    }
}
