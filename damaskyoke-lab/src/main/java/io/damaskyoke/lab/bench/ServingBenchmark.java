package io.damaskyoke.lab.bench;

import io.damaskyoke.control.serving.ServingAction;
import io.damaskyoke.control.serving.ServingInput;
import io.damaskyoke.control.serving.ServingMachine;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What an agent's queue costs a request, behind queues of three lengths. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ServingBenchmark {
    private static final Instant NOW = Instant.EPOCH;
    private static final Instant DEADLINE = NOW.plusSeconds(60);
    private static final Incarnation ROUTER = Incarnation.of("router-1:1");
    private static final int MAX_RUNNING = 16;

    /** Requests that wait already. */
    @Param({"0", "64", "512"})
    public int waiting;

    private ServingMachine machine;
    private long counter;

    /** Fills the upstream and the queue. */
    @Setup(Level.Iteration)
    public void setUp() {
        machine = ServingMachine.of(MAX_RUNNING, waiting + 2);
        counter = 0;
        for (int i = 0; i < MAX_RUNNING + waiting; i++) {
            machine.on(arrival(counter++), NOW);
        }
    }

    /** One more comes, and the one that has run longest ends. */
    @Benchmark
    public List<ServingAction> arriveAndFinish() {
        machine.on(arrival(counter), NOW);
        long oldest = counter - MAX_RUNNING - waiting;
        counter++;
        return machine.on(new ServingInput.RunFinished(new ExchangeId(ROUTER, oldest)), NOW);
    }

    private static ServingInput arrival(long number) {
        return new ServingInput.RequestArrived(
                new ExchangeId(ROUTER, number),
                WorkspaceId.of("workspace-" + number % 5),
                Optional.empty(),
                DEADLINE);
    }
}
