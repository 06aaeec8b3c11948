package io.damaskyoke.lab.bench;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.control.routing.RequestAction;
import io.damaskyoke.control.routing.RequestInput;
import io.damaskyoke.control.routing.RequestMachine;
import io.damaskyoke.control.routing.RetryBudget;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
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

/** What a router's decisions cost a request, at three sizes of the fleet. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RoutingBenchmark {
    private static final Instant NOW = Instant.EPOCH;

    /** Agents in the fleet: today, half way, and the design size. */
    @Param({"12", "600", "2400"})
    public int agents;

    private Fleet fleet;
    private Model model;
    private int models;
    private int next;

    /** Builds the fleet. */
    @Setup
    public void setUp() {
        models = agents < 100 ? 55 : 900;
        fleet = Samples.fleet(agents, models);
        model = Samples.model(7);
    }

    /** Choosing the agent for a model. */
    @Benchmark
    public Optional<VmId> chooseHolder() {
        next = (next + 1) % models;
        return fleet.selectForModel(Samples.model(next), Set.of(), NOW);
    }

    /** A request that is sent and served, with its choice. */
    @Benchmark
    public List<RequestAction> wholeRequest() {
        RequestMachine request =
                RequestMachine.of(
                        true,
                        (tried, now) -> fleet.selectForModel(model, tried, now),
                        RetryBudget.of(0.1));
        request.on(new RequestInput.Admitted(), NOW);
        return request.on(
                new RequestInput.AnswerStarted(request.currentAgent().orElseThrow()), NOW);
    }
}
