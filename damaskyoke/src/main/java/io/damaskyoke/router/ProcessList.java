package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.routing.AgentEndpoint;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.id.VmId;
import io.damaskyoke.operator.ProcessEntry;
import io.damaskyoke.platform.VmList;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Lists the processes of the deployment, for operators who want to query each of them: the
 * platform's list of VMs, or its last answer while it is down, plus the agents not listed yet.
 */
final class ProcessList {
    private static final String UNLISTED = "unlisted";

    private final ControlThread control;
    private final VmList vmList;
    private final Fleet fleet;
    private final VmId localVm;
    private final Supplier<String> operatorUrl;
    private volatile List<VmList.Vm> last = List.of();

    ProcessList(
            ControlThread control,
            VmList vmList,
            Fleet fleet,
            VmId localVm,
            Supplier<String> operatorUrl) {
        this.control = control;
        this.vmList = vmList;
        this.fleet = fleet;
        this.localVm = localVm;
        this.operatorUrl = operatorUrl;
    }

    /** Returns all processes, sorted by VM; never fails. */
    CompletionStage<List<ProcessEntry>> read() {
        return vmList.read()
                .handle((vms, failure) -> failure == null ? remember(vms) : last)
                .thenCompose(vms -> control.call(() -> merge(vms)));
    }

    private List<VmList.Vm> remember(List<VmList.Vm> vms) {
        last = vms;
        return vms;
    }

    private List<ProcessEntry> merge(List<VmList.Vm> vms) {
        Map<String, ProcessEntry> all = new TreeMap<>();
        ProcessEntry self =
                new ProcessEntry(localVm.value(), "router", UNLISTED, operatorUrl.get());
        all.put(self.vm(), self);
        for (AgentEndpoint agent : fleet.endpoints()) {
            String vm = agent.vm().value();
            all.put(vm, new ProcessEntry(vm, "agent", UNLISTED, null));
        }
        vms.forEach(vm -> all.put(vm.id().value(), listed(vm)));
        return new ArrayList<>(all.values());
    }

    private static ProcessEntry listed(VmList.Vm vm) {
        return new ProcessEntry(
                vm.id().value(),
                vm.role().name().toLowerCase(Locale.ROOT),
                vm.state().name().toLowerCase(Locale.ROOT),
                "http://" + vm.address() + ":" + vm.operatorPort());
    }
}
