package io.damaskyoke.lab.coldstart;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.placement.PlacementPlanner;
import io.damaskyoke.control.placement.PlacementTable;
import io.damaskyoke.control.placement.ReplicaGrant;
import io.damaskyoke.control.replicas.ModelGrants;
import io.damaskyoke.control.replicas.ReplicaAction;
import io.damaskyoke.control.replicas.ReplicaInput;
import io.damaskyoke.control.replicas.ReplicaManager;
import io.damaskyoke.control.replicas.ReplicaSettings;
import io.damaskyoke.control.routing.AgentEndpoint;
import io.damaskyoke.control.routing.AgentLoad;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.lab.Deployment;
import io.damaskyoke.lab.Fault;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** One policy through one workload, in steps of 100 ms. */
final class ColdStartRun {
    private static final long STEP = 100;

    /** Engines begin empty; what the first minutes cost says nothing of the days after them. */
    private static final long WARM_UP = 300_000;

    private static final Duration GONE_AFTER = Duration.ofSeconds(30);
    private static final Duration SUSPECT_TIME = Duration.ofSeconds(15);

    final Workload workload;
    final SimulatedStore store;
    final List<Double> coldMillis = new ArrayList<>();
    final List<Double> boundMillis = new ArrayList<>();
    int refusals;
    int worstAbove;
    long worstOvercommit;
    private final boolean naive;
    private final Fault fault;
    private final long length;
    private final Random random;
    private final Map<VmId, SimulatedVm> vms = new TreeMap<>();
    private final List<Fleet> fleets = new ArrayList<>();
    private final PlacementPlanner planner = new PlacementPlanner(GONE_AFTER, SUSPECT_TIME);
    private final Map<ExchangeId, Pending> pending = new HashMap<>();
    private final PriorityQueue<Use> uses = new PriorityQueue<>();
    private final Map<Integer, PlacementTable.Stored> shards = new TreeMap<>();
    private long now = 1_000;
    private long revision;
    private long counter;

    private record Pending(Workload.Arrival arrival, Set<VmId> tried, boolean cold, double bound) {}

    private record Use(long end, VmId vm, ModelName model) implements Comparable<Use> {
        @Override
        public int compareTo(Use other) {
            return Long.compare(end, other.end);
        }
    }

    ColdStartRun(Deployment deployment, Workload workload, long seed, Fault fault, boolean naive) {
        this.workload = workload;
        this.store = new SimulatedStore(deployment);
        this.naive = naive;
        this.fault = fault;
        this.length = deployment.length().toMillis();
        this.random = new Random(seed);
        for (int i = 0; i < deployment.workers(); i++) {
            VmId vm = VmId.of(String.format("vm-%02d", i));
            AvailabilityZone zone = AvailabilityZone.of("z-" + i % Deployment.ZONES);
            vms.put(vm, new SimulatedVm(this, vm, zone, this::holder));
        }
        for (int i = 0; i < Deployment.ROUTERS; i++) {
            fleets.add(Fleet.from(AvailabilityZone.of("z-" + i % Deployment.ZONES)));
        }
    }

    Instant instant() {
        return Instant.ofEpochMilli(now);
    }

    double idleHours() {
        return vms.values().stream().mapToDouble(vm -> vm.idleHours).sum();
    }

    ColdStartRun run() {
        int next = 0;
        for (long at = 0; at < length + 60_000; at += STEP, now += STEP) {
            fail(at);
            store.advance(STEP, fault == Fault.WEIGHTS_SLOW && middle(at) ? 0.25 : 1);
            if (at % 1_000 == 0) {
                control(at);
            }
            while (next < workload.arrivals.size() && workload.arrivals.get(next).at() <= at) {
                arrive(workload.arrivals.get(next++));
            }
            vms.values().stream().filter(vm -> vm.up).forEach(vm -> vm.step(STEP));
            while (!uses.isEmpty() && uses.peek().end <= at) {
                Use use = uses.remove();
                vms.get(use.vm).finished(use.model);
            }
            check();
        }
        pending.values().forEach(this::countRefusal);
        return this;
    }

    void ready(SimulatedVm vm, ExchangeId request) {
        Pending done = pending.remove(request);
        fleets.get(done.arrival.router()).countFinished(vm.id);
        if (done.cold && done.arrival.at() >= WARM_UP) {
            coldMillis.add((double) (now - 1_000 - done.arrival.at()));
            boundMillis.add(done.bound);
        }
        uses.add(new Use(now - 1_000 + done.arrival.runs(), vm.id, done.arrival.model()));
    }

    void refused(SimulatedVm vm, ExchangeId request) {
        Pending refused = pending.remove(request);
        fleets.get(refused.arrival.router()).countFinished(vm.id);
        refused.tried.add(vm.id);
        send(refused);
    }

    private StateMachine<ReplicaInput, ReplicaAction> holder() {
        return naive
                ? new LruHolder()
                : new ReplicaManager(
                        ReplicaSettings.defaults()
                                .withEstimates(Duration.ofSeconds(3), Duration.ofSeconds(1)));
    }

    private boolean middle(long at) {
        return at >= length / 3 && at < 2 * length / 3;
    }

    private void fail(long at) {
        if (fault != Fault.WORKERS_LOST) {
            return;
        }
        List<SimulatedVm> lost = vms.values().stream().limit(vms.size() / 4).toList();
        if (at == length / 3) {
            lost.forEach(SimulatedVm::lose);
            pending.values().removeIf(each -> lost.stream().anyMatch(vm -> isAt(each, vm)));
        } else if (at == 2 * length / 3) {
            lost.forEach(SimulatedVm::start);
        }
    }

    private boolean isAt(Pending each, SimulatedVm vm) {
        boolean lost = each.tried.contains(vm.id);
        if (lost) {
            countRefusal(each);
        }
        return lost;
    }

    private void arrive(Workload.Arrival arrival) {
        boolean routerGone = fault == Fault.ROUTERS_LOST && middle(arrival.at());
        int router = routerGone ? Deployment.ROUTERS - 1 : arrival.router();
        Workload.Arrival at =
                new Workload.Arrival(
                        arrival.at(), arrival.model(), router, arrival.deadline(), arrival.runs());
        Model model = workload.models.get(arrival.model());
        boolean cold = vms.values().stream().noneMatch(vm -> vm.serves(model));
        send(new Pending(at, new HashSet<>(), cold, bound(model)));
    }

    private double bound(Model model) {
        boolean baseHeld =
                model.base()
                        .map(b -> vms.values().stream().anyMatch(vm -> vm.held.containsKey(b)))
                        .orElse(true);
        long base = baseHeld ? 0 : workload.models.get(model.base().get()).memoryBytes();
        return (model.memoryBytes() + base) / SimulatedStore.FULL_SPEED;
    }

    private void send(Pending request) {
        Model model = workload.models.get(request.arrival.model());
        Fleet fleet = fleets.get(request.arrival.router());
        Optional<VmId> to =
                naive
                        ? chooseNaively(model, request.tried, fleet)
                        : fleet.selectForModel(model, request.tried, instant());
        if (to.isEmpty() || !vms.get(to.get()).up) {
            countRefusal(request);
            return;
        }
        fleet.countSent(to.get());
        ExchangeId id = new ExchangeId(Incarnation.of("r"), counter++);
        request.tried.add(to.get());
        pending.put(id, request);
        Instant deadline = Instant.ofEpochMilli(request.arrival.deadline() + 1_000);
        vms.get(to.get())
                .feed(
                        new ReplicaInput.RequestQueued(
                                id, model.name(), deadline, WorkspaceId.of("kitchens")));
    }

    private void countRefusal(Pending request) {
        refusals += request.arrival.at() >= WARM_UP ? 1 : 0;
    }

    // A replica that this router has heard of, or any VM at all.
    private Optional<VmId> chooseNaively(Model model, Set<VmId> tried, Fleet fleet) {
        List<VmId> up =
                fleet.endpoints().stream()
                        .map(AgentEndpoint::vm)
                        .filter(vm -> vms.get(vm).up && !tried.contains(vm))
                        .toList();
        Optional<VmId> known =
                up.stream()
                        .filter(vm -> fleet.load(vm).loaded().contains(model.name()))
                        .findFirst();
        return known.or(
                () -> up.isEmpty() ? known : Optional.of(up.get(random.nextInt(up.size()))));
    }

    private void control(long at) {
        boolean storeOut = fault == Fault.STORE_OUT && middle(at);
        if (!naive && !storeOut) {
            plan();
        }
        PlacementTable table = new PlacementTable(Math.max(1, revision), shards);
        for (int i = 0; i < fleets.size(); i++) {
            boolean gone = fault == Fault.ROUTERS_LOST && middle(at) && i < 2;
            if (!gone) {
                refresh(fleets.get(i), table, storeOut, at / 1_000 % 2 == i % 2);
            }
        }
    }

    private void refresh(Fleet fleet, PlacementTable table, boolean storeOut, boolean heartbeat) {
        fleet.update(
                vms.values().stream()
                        .filter(vm -> vm.up)
                        .map(vm -> new AgentEndpoint(vm.id, Workload.POOL, vm.zone, "host", 1))
                        .toList(),
                Set.of());
        if (!storeOut) {
            fleet.setReplicaHolders(table.usableHolders());
        }
        if (heartbeat) {
            vms.values().stream()
                    .filter(vm -> vm.up)
                    .forEach(vm -> fleet.updateLoad(vm.id, load(vm)));
        }
    }

    private AgentLoad load(SimulatedVm vm) {
        return new AgentLoad(0, 0, 16, vm.held.keySet(), vm.loading.keySet());
    }

    private void plan() {
        List<PlacementPlanner.Candidate> candidates =
                vms.values().stream()
                        .filter(vm -> vm.up)
                        .map(
                                vm ->
                                        new PlacementPlanner.Candidate(
                                                vm.id, Workload.POOL, vm.zone, false))
                        .toList();
        Set<VmId> up = new HashSet<>();
        candidates.forEach(candidate -> up.add(candidate.vm()));
        PlacementTable table = new PlacementTable(Math.max(1, revision), shards);
        PlacementPlanner.View view =
                new PlacementPlanner.View(table, workload.models, candidates, up, up);
        List<PlacementPlanner.Proposal> proposals = planner.on(view, instant());
        for (PlacementPlanner.Proposal proposal : proposals) {
            shards.put(proposal.shard(), new PlacementTable.Stored(proposal.value(), ++revision));
        }
        PlacementTable newer = new PlacementTable(Math.max(1, revision), shards);
        vms.values().stream().filter(vm -> vm.up).forEach(vm -> vm.rights(rights(newer, vm)));
    }

    private static ModelGrants rights(PlacementTable table, SimulatedVm vm) {
        Map<ModelName, Long> granted = new TreeMap<>();
        table.grantsOf(vm.id).stream()
                .filter(ReplicaGrant::usable)
                .forEach(right -> granted.put(right.model(), right.fencing()));
        return ModelGrants.of(granted);
    }

    private void check() {
        Map<ModelName, Integer> replicas = new HashMap<>();
        for (SimulatedVm vm : vms.values()) {
            vm.held.keySet().forEach(name -> replicas.merge(name, 1, Integer::sum));
            vm.loading.keySet().forEach(name -> replicas.merge(name, 1, Integer::sum));
            worstOvercommit = Math.max(worstOvercommit, vm.usedBytes() - SimulatedVm.MEMORY);
        }
        replicas.forEach(
                (name, count) ->
                        worstAbove =
                                Math.max(
                                        worstAbove,
                                        count - workload.models.get(name).maxReplicas()));
    }
}
