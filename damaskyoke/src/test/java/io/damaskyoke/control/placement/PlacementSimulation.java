package io.damaskyoke.control.placement;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;

/**
 * Simulates three routers that all plan, four VMs with real replica managers, and a store, with
 * seeded faults. It knows what every engine really holds and checks the rules after each step.
 */
public final class PlacementSimulation {
    static final Duration STEP = Duration.ofMillis(250);
    static final Duration GONE_AFTER = Duration.ofSeconds(30);
    static final Duration SUSPECT_TIME = Duration.ofSeconds(15);
    static final PoolName POOL = PoolName.of("p");

    final Random random;
    final PlacementPolicy policy;
    final FakeStore fake = new FakeStore();
    final PlacementStore store;
    private final IntFunction<Configuration> configurations;
    private final IntPredicate leads;
    final Map<ModelName, Model> models = new TreeMap<>();
    final List<SimulatedRouter> routers = new ArrayList<>();
    final Map<VmId, SimulatedVm> vms = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    private final List<Set<VmId>> listHistory = new ArrayList<>();
    private final Set<VmId> omitted = new HashSet<>();
    final Set<VmId> leaving = new HashSet<>();
    Instant now = Instant.EPOCH.plusSeconds(1);
    boolean faults = true;
    long requests;
    int served;

    PlacementSimulation(long seed, PlacementPolicy policy) {
        this.random = new Random(seed);
        this.policy = policy;
        this.store = new PlacementStore(fake, "t");
        this.configurations = router -> configuration();
        this.leads = router -> true;
        populate();
    }

    /**
     * Creates a simulation over a given store, in which routers follow a log and plan under a
     * lease.
     */
    public PlacementSimulation(
            long seed,
            PlacementPolicy policy,
            KeyValueStore shared,
            IntFunction<Configuration> configurations,
            IntPredicate leads) {
        this.random = new Random(seed);
        this.policy = policy;
        this.store = new PlacementStore(shared, "t");
        this.configurations = configurations;
        this.leads = leads;
        populate();
    }

    private void populate() {
        add("a", 40, 1, null);
        add("b", 30, 2, null);
        add("c", 50, 1, null);
        add("a-1", 10, 1, "a");
        for (int i = 0; i < 4; i++) {
            VmId vm = VmId.of("vm-" + i);
            vms.put(vm, new SimulatedVm(this, vm, AvailabilityZone.of("z" + i % 2)));
        }
        for (int i = 0; i < 3; i++) {
            routers.add(new SimulatedRouter(this));
        }
    }

    /** Runs one step of the routers and VMs, without faults or checks of this simulation's own. */
    public void stepAt(Instant time) {
        now = time;
        recordList();
        routers.forEach(SimulatedRouter::step);
        vms.values().forEach(SimulatedVm::step);
    }

    /**
     * Ends all faults: messages and answers arrive from now on, and every VM, agent and router
     * comes back.
     */
    public void endFaults() {
        faults = false;
        omitted.clear();
        vms.values().forEach(SimulatedVm::recover);
        routers.forEach(SimulatedRouter::resume);
    }

    /** Freezes a router that may have pending proposals. */
    public void freezeRouter(int router, int steps) {
        routers.get(router).freeze(steps);
    }

    /** Restarts a router without any state. */
    public void restartRouter(int router) {
        routers.set(router, new SimulatedRouter(this));
    }

    /** Stops a VM, which comes back empty after some steps. */
    public void stopVm(int vm, int steps) {
        vm(vm).stop(steps);
    }

    /** Crashes an agent; its engine keeps running. */
    public void crashAgent(int vm) {
        vm(vm).crashAgent();
    }

    /** Omits a running VM from the list, or puts it back. */
    public void omitFromList(int vm, boolean away) {
        if (away) {
            omitted.add(vm(vm).id);
        } else {
            omitted.remove(vm(vm).id);
        }
    }

    /** Returns how many engines hold or load the model. */
    public long countHolders(ModelName model) {
        return vms.values().stream().filter(vm -> vm.holds(model)).count();
    }

    /** Returns how many requests were sent on to an engine. */
    public int served() {
        return served;
    }

    /** Returns the models that are configured before any ticket. */
    public Map<ModelName, Model> models() {
        return models;
    }

    /**
     * Returns current violations: engines over their memory, and requests still waiting after their
     * deadline.
     */
    public List<String> currentViolations() {
        List<String> found = new ArrayList<>();
        vms.values().forEach(vm -> vm.addViolations(found));
        return found;
    }

    Configuration configurationOf(SimulatedRouter router) {
        return configurations.apply(routers.indexOf(router));
    }

    boolean leads(SimulatedRouter router) {
        return leads.test(routers.indexOf(router));
    }

    private SimulatedVm vm(int number) {
        return List.copyOf(vms.values()).get(number);
    }

    Configuration configuration() {
        return new Configuration(1, Map.of(), Map.of(), models, Map.of(), Map.of());
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
        }
    }

    /** Ends every fault and lets the grants settle. */
    void runWithoutFaults(int steps) {
        faults = false;
        fake.down(false);
        fake.loseAnswers(0);
        omitted.clear();
        leaving.clear();
        vms.values().forEach(SimulatedVm::recover);
        routers.forEach(SimulatedRouter::resume);
        run(steps);
    }

    boolean ownView() {
        return policy == PlacementPolicy.OWN_VIEW;
    }

    /** Returns the VMs on the platform's list as it was some steps ago. */
    Set<VmId> listed(int age) {
        return listHistory.get(Math.max(0, listHistory.size() - 1 - age));
    }

    private void step() {
        now = now.plus(STEP);
        recordList();
        if (faults) {
            injectFault();
        }
        routers.forEach(SimulatedRouter::step);
        vms.values().forEach(SimulatedVm::step);
        check();
    }

    private void recordList() {
        Set<VmId> alive = new TreeSet<>();
        vms.values().stream().filter(SimulatedVm::isUp).forEach(vm -> alive.add(vm.id));
        alive.removeAll(omitted);
        listHistory.add(alive);
    }

    private void injectFault() {
        int what = random.nextInt(400);
        SimulatedVm vm = List.copyOf(vms.values()).get(random.nextInt(vms.size()));
        switch (what) {
            case 0 -> fake.down(true);
            case 1, 2, 3 -> fake.down(false);
            case 4 -> fake.loseAnswers(2);
            case 5 -> routers.get(random.nextInt(routers.size())).freeze(random.nextInt(400));
            case 6, 7 -> vm.crashAgent();
            case 8 -> vm.stop(200 + random.nextInt(400));
            case 9 -> omitted.add(vm.id);
            case 10, 11 -> omitted.clear();
            case 12 -> leaving.add(vm.id);
            case 13, 14 -> leaving.clear();
            default -> {}
        }
    }

    // Counts every replica that an engine really holds or is loading, whoever ordered it.
    private void check() {
        for (Model model : models.values()) {
            long held = vms.values().stream().filter(vm -> vm.holds(model.name())).count();
            if (held > model.maxReplicas()) {
                violations.add(now + " too many replicas of " + model.name() + ": " + held);
            }
        }
        for (SimulatedVm vm : vms.values()) {
            if (vm.usedBytes() > SimulatedVm.MEMORY) {
                violations.add(
                        now + " engine over its memory: " + vm.id + " uses " + vm.usedBytes());
            }
        }
    }

    private void add(String name, long bytes, int maxReplicas, String base) {
        ModelName id = ModelName.of(name);
        Optional<ModelName> on = Optional.ofNullable(base).map(ModelName::of);
        models.put(id, new Model(id, "v1", POOL, on, bytes, maxReplicas, Set.of()));
    }
}
