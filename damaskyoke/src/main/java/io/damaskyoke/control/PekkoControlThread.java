package io.damaskyoke.control;

import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * Implements the control thread as a Pekko actor on a pinned dispatcher: {@code
 * PekkoControlThread.start(system, clock, metrics)}. The actor's mailbox keeps the order of the
 * steps that one thread submits.
 */
public final class PekkoControlThread implements ControlThread {
    private static final Logger LOG = LogManager.getLogger(PekkoControlThread.class);
    private static final String DISPATCHER = "damaskyoke.control-dispatcher";

    private final ActorSystem<?> system;
    private final ActorRef<Step> actor;
    private final InstantSource clock;

    private PekkoControlThread(ActorSystem<?> system, ActorRef<Step> actor, InstantSource clock) {
        this.system = system;
        this.actor = actor;
        this.clock = clock;
    }

    /** Starts the control thread of a process in the given actor system. */
    public static PekkoControlThread start(
            ActorSystem<?> system, InstantSource clock, Metrics metrics) {
        Objects.requireNonNull(clock, "clock");
        Props props = DispatcherSelector.fromConfig(DISPATCHER);
        ActorRef<Step> actor = system.systemActorOf(behavior(metrics), "control", props);
        return new PekkoControlThread(system, actor, clock);
    }

    @Override
    public void run(Runnable step) {
        actor.tell(new Step(step));
    }

    @Override
    public <T> CompletionStage<T> call(Supplier<T> step) {
        CompletableFuture<T> result = new CompletableFuture<>();
        run(() -> completeWith(result, step));
        return result;
    }

    @Override
    public Cancellable after(Duration delay, Runnable step) {
        var timer =
                system.scheduler().scheduleOnce(delay, () -> run(step), system.executionContext());
        return timer::cancel;
    }

    @Override
    public Cancellable every(Duration period, Runnable step) {
        var timer =
                system.scheduler()
                        .scheduleWithFixedDelay(
                                period, period, () -> run(step), system.executionContext());
        return timer::cancel;
    }

    @Override
    public InstantSource clock() {
        return clock;
    }

    private static <T> void completeWith(CompletableFuture<T> result, Supplier<T> step) {
        try {
            result.complete(step.get());
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    private static Behavior<Step> behavior(Metrics metrics) {
        return Behaviors.receiveMessage(
                step -> {
                    runSafely(step, metrics);
                    return Behaviors.same();
                });
    }

    // An uncaught exception would stop the actor, and with it all control decisions of the process,
    // so that callers would wait forever. A step throws only before it changes any state, so it is
    // safe to continue with the next one.
    private static void runSafely(Step step, Metrics metrics) {
        metrics.count("control_steps");
        try {
            step.body().run();
        } catch (RuntimeException e) {
            metrics.count("control_steps_failed");
            LOG.error("control step failed, continuing with the next one", e);
        }
    }

    private record Step(Runnable body) {}
}
