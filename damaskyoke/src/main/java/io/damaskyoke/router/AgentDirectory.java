package io.damaskyoke.router;

import io.damaskyoke.control.Control;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.control.routing.Member;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.Registration;
import io.damaskyoke.platform.VmList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keeps a router's {@link Fleet} up to date from the agents' registrations and the list of VMs.
 * What it can't read it leaves as it was, so that an outage of either takes nobody out of service.
 */
final class AgentDirectory {
    private final Control control;
    private final KeyValueStore store;
    private final VmList vmList;
    private final String prefix;
    private final Fleet fleet;
    private final Metrics metrics;
    private final Map<VmId, Registration> registered = new TreeMap<>();
    private final Set<VmId> everListed = new HashSet<>();
    private Set<VmId> listed = Set.of();
    private Set<VmId> leaving = Set.of();

    AgentDirectory(
            Control control,
            KeyValueStore store,
            VmList vmList,
            String storePrefix,
            Fleet fleet,
            Metrics metrics) {
        this.control = control;
        this.store = store;
        this.vmList = vmList;
        this.prefix = storePrefix + Registration.PREFIX;
        this.fleet = fleet;
        this.metrics = metrics;
    }

    /** Reads both now and then once a period. */
    Control.Cancellable start(Duration period) {
        refresh();
        return control.every(period, this::refresh);
    }

    private void refresh() {
        vmList.read().whenComplete((vms, failure) -> control.run(() -> takeList(vms, failure)));
        store.list(prefix)
                .whenComplete((found, failure) -> control.run(() -> takeFound(found, failure)));
    }

    private void takeList(List<VmList.Vm> vms, Throwable failure) {
        if (failure != null) {
            metrics.count("vm_list_failures");
            return;
        }
        Set<VmId> present = new HashSet<>();
        Set<VmId> onTheirWay = new HashSet<>();
        for (VmList.Vm vm : vms) {
            present.add(vm.id());
            if (vm.state() == VmList.State.LEAVING) {
                onTheirWay.add(vm.id());
            }
        }
        everListed.addAll(present);
        listed = present;
        leaving = onTheirWay;
        publish();
    }

    private void takeFound(KeyValueStore.Listing found, Throwable failure) {
        if (failure != null) {
            metrics.count("agent_listing_failures");
            return;
        }
        Map<VmId, Registration> now = new TreeMap<>();
        for (KeyValueStore.Entry entry : found.entries()) {
            read(entry, now);
        }
        now.values().forEach(this::noticeNewLife);
        registered.clear();
        registered.putAll(now);
        publish();
    }

    private void read(KeyValueStore.Entry entry, Map<VmId, Registration> into) {
        try {
            Registration registration = Registration.parse(entry.value());
            into.put(registration.vm(), registration);
        } catch (PlatformException e) {
            metrics.count("agent_registrations_unreadable");
        }
    }

    private void noticeNewLife(Registration registration) {
        Registration before = registered.get(registration.vm());
        if (before != null && !before.incarnation().equals(registration.incarnation())) {
            fleet.returned(registration.vm());
        }
    }

    private void publish() {
        List<Member> present = new ArrayList<>();
        for (Registration agent : registered.values()) {
            if (!goneFromList(agent.vm())) {
                present.add(
                        new Member(
                                agent.vm(),
                                agent.pool(),
                                agent.zone(),
                                agent.host(),
                                agent.port()));
            }
        }
        fleet.update(present, leaving);
    }

    // The list lags, so a VM that it never showed may just have come; one that it showed before and
    // shows no longer is gone, and its registration is a left-over.
    private boolean goneFromList(VmId vm) {
        return everListed.contains(vm) && !listed.contains(vm);
    }
}
