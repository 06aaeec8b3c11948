package io.damaskyoke.control.placement;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.FakeStore;
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

/**
 * Three routers that all plan, four VMs with real holders, and a store, with seeded faults. It
 * knows what every engine really holds and checks the rules after each step.
 */
final class PlacementWorld {
    static final Duration STEP = Duration.ofMillis(250);
    static final Duration GONE_AFTER = Duration.ofSeconds(30);
    static final Duration SUSPECT_TIME = Duration.ofSeconds(15);
    static final PoolName POOL = PoolName.of("p");

    final Random random;
    final Policy policy;
    final FakeStore fake = new FakeStore();
    final PlacementStore store = new PlacementStore(fake, "t");
    final Map<ModelName, Model> models = new TreeMap<>();
    final List<PlannerRouter> routers = new ArrayList<>();
    final Map<VmId, EngineVm> vms = new TreeMap<>();
    final List<String> broken = new ArrayList<>();
    private final List<Set<VmId>> lists = new ArrayList<>();
    private final Set<VmId> mislaid = new HashSet<>();
    final Set<VmId> leaving = new HashSet<>();
    Instant now = Instant.EPOCH.plusSeconds(1);
    boolean faults = true;
    long requests;
    int served;

    PlacementWorld(long seed, Policy policy) {
        this.random = new Random(seed);
        this.policy = policy;
        add("a", 40, 1, null);
        add("b", 30, 2, null);
        add("c", 50, 1, null);
        add("a-1", 10, 1, "a");
        for (int i = 0; i < 4; i++) {
            VmId vm = VmId.of("vm-" + i);
            vms.put(vm, new EngineVm(this, vm, AvailabilityZone.of("z" + i % 2)));
        }
        for (int i = 0; i < 3; i++) {
            routers.add(new PlannerRouter(this));
        }
    }

    Configuration configuration() {
        return new Configuration(1, Map.of(), Map.of(), models, Map.of(), Map.of());
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
        }
    }

    /** Ends every fault and lets the rights settle. */
    void calm(int steps) {
        faults = false;
        fake.down(false);
        fake.loseAnswers(0);
        mislaid.clear();
        leaving.clear();
        vms.values().forEach(EngineVm::recover);
        routers.forEach(PlannerRouter::thaw);
        run(steps);
    }

    boolean ownView() {
        return policy == Policy.OWN_VIEW;
    }

    /** The VMs on the platform's list as it stood some steps ago. */
    Set<VmId> listed(int age) {
        return lists.get(Math.max(0, lists.size() - 1 - age));
    }

    private void step() {
        now = now.plus(STEP);
        noteList();
        if (faults) {
            breakSomething();
        }
        routers.forEach(PlannerRouter::step);
        vms.values().forEach(EngineVm::step);
        check();
    }

    private void noteList() {
        Set<VmId> alive = new TreeSet<>();
        vms.values().stream().filter(EngineVm::isUp).forEach(vm -> alive.add(vm.id));
        alive.removeAll(mislaid);
        lists.add(alive);
    }

    private void breakSomething() {
        int what = random.nextInt(400);
        EngineVm vm = List.copyOf(vms.values()).get(random.nextInt(vms.size()));
        switch (what) {
            case 0 -> fake.down(true);
            case 1, 2, 3 -> fake.down(false);
            case 4 -> fake.loseAnswers(2);
            case 5 -> routers.get(random.nextInt(routers.size())).freeze(random.nextInt(400));
            case 6, 7 -> vm.killAgent();
            case 8 -> vm.lose(200 + random.nextInt(400));
            case 9 -> mislaid.add(vm.id);
            case 10, 11 -> mislaid.clear();
            case 12 -> leaving.add(vm.id);
            case 13, 14 -> leaving.clear();
            default -> {}
        }
    }

    // Every replica counts that an engine really holds or is loading, whoever ordered it.
    private void check() {
        for (Model model : models.values()) {
            long held = vms.values().stream().filter(vm -> vm.holds(model.name())).count();
            if (held > model.maxReplicas()) {
                broken.add(now + " replicas of " + model.name() + ": " + held);
            }
        }
        for (EngineVm vm : vms.values()) {
            if (vm.usedBytes() > EngineVm.MEMORY) {
                broken.add(now + " memory of " + vm.id + ": " + vm.usedBytes());
            }
        }
    }

    private void add(String name, long bytes, int maxReplicas, String base) {
        ModelName id = ModelName.of(name);
        Optional<ModelName> on = Optional.ofNullable(base).map(ModelName::of);
        models.put(id, new Model(id, "v1", POOL, on, bytes, maxReplicas, Set.of()));
    }
}
