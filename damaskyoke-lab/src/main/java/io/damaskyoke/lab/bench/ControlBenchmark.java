package io.damaskyoke.lab.bench;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.placement.PlacementPlanner;
import io.damaskyoke.control.placement.PlacementTable;
import io.damaskyoke.control.placement.ReplicaGrant;
import io.damaskyoke.control.placement.Shard;
import io.damaskyoke.control.rates.RateAction;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.RateMachine;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What recurring control work costs at three sizes of the fleet. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ControlBenchmark {
    private static final Instant NOW = Instant.EPOCH;
    private static final int WORKSPACES = 5;
    private static final int ZONES = 15;

    /** Agents; models and routers go with them. */
    @Param({"12", "600", "2400"})
    public int agents;

    private PlacementPlanner planner;
    private PlacementPlanner.View view;
    private byte[] storedShard;
    private byte[] storedShares;
    private Map<WorkspaceId, RateInput.ShareRow> rows;
    private RateMachine rates;
    private long counter;

    /** Builds a table in which every model has its rights, and one share table a workspace. */
    @Setup
    public void setUp() {
        int models = agents < 100 ? 170 : 2_100;
        int routers = Math.max(3, agents * 380 / 2_400);
        buildPlacement(models);
        buildRates(routers);
    }

    /** One look of the lease holder at a table with nothing to change. */
    @Benchmark
    public List<PlacementPlanner.Proposal> plan() {
        return planner.on(view, NOW);
    }

    /** Reading one of the table's shards. */
    @Benchmark
    public Shard parseShard() {
        return Shard.parse(storedShard);
    }

    /** Reading one workspace's shares. */
    @Benchmark
    public ShareTable parseShares() {
        return ShareTable.parse(storedShares);
    }

    /** Taking in all shares, as every two seconds. */
    @Benchmark
    public List<RateAction> takeShares() {
        return rates.on(new RateInput.SharesRead(rows, NOW), NOW);
    }

    /** Letting a request in and settling it. */
    @Benchmark
    public List<RateAction> admit() {
        ExchangeId id = new ExchangeId(Incarnation.of("router-0:1"), counter++);
        WorkspaceId workspace = WorkspaceId.of("workspace-0");
        rates.on(new RateInput.RequestArrived(id, workspace, 1), NOW);
        return rates.on(new RateInput.RequestSettled(workspace, 1, 0), NOW);
    }

    private void buildPlacement(int count) {
        Map<ModelName, Model> models = new HashMap<>();
        Map<Integer, List<ReplicaGrant>> rights = new HashMap<>();
        for (int i = 0; i < count; i++) {
            Model model = Samples.model(i);
            models.put(model.name(), model);
            for (int replica = 0; replica < model.maxReplicas(); replica++) {
                rights.computeIfAbsent(Shard.numberOf(model.name()), n -> new ArrayList<>())
                        .add(ReplicaGrant.of(model.name(), vm((i + replica) % agents), i + 1));
            }
        }
        Map<Integer, PlacementTable.Stored> shards = new HashMap<>();
        rights.forEach(
                (number, each) ->
                        shards.put(number, new PlacementTable.Stored(new Shard(count, each), 1)));
        List<PlacementPlanner.Candidate> candidates = new ArrayList<>();
        Set<VmId> listed = new HashSet<>();
        for (int i = 0; i < agents; i++) {
            AvailabilityZone zone = AvailabilityZone.of("zone-" + i % ZONES);
            candidates.add(new PlacementPlanner.Candidate(vm(i), Samples.POOL, zone, false));
            listed.add(vm(i));
        }
        planner = new PlacementPlanner(Duration.ofSeconds(30), Duration.ofSeconds(30));
        view =
                new PlacementPlanner.View(
                        new PlacementTable(1, shards), models, candidates, listed, listed);
        storedShard = shards.values().iterator().next().shard().toJson();
    }

    private void buildRates(int routers) {
        ShareTable table =
                ShareTable.founded(router(0), VmId.of("router-0"), "10.0.0.1:7400", routers);
        for (int i = 1; i < routers; i++) {
            table = table.join(router(i), VmId.of("router-" + i), "10.0.0.1:7400", routers, 0);
        }
        int part = ShareTable.WHOLE / routers;
        table = table.withPartAndWant(router(0), part, part);
        storedShares = table.toJson();
        rows = new HashMap<>();
        var workspaces = Samples.configuration(WORKSPACES).workspaces();
        for (WorkspaceId workspace : workspaces.keySet()) {
            rows.put(workspace, new RateInput.ShareRow(table, 1));
        }
        rates =
                RateMachine.of(
                        router(0), VmId.of("router-0"), "10.0.0.1:7400", RateSettings.defaults());
        rates.on(new RateInput.WorkspacesConfigured(workspaces), NOW);
        rates.on(new RateInput.SharesRead(rows, NOW), NOW);
    }

    private static Incarnation router(int number) {
        return Incarnation.of("router-" + number + ":1");
    }

    private static VmId vm(int number) {
        return VmId.of("agent-" + number);
    }
}
