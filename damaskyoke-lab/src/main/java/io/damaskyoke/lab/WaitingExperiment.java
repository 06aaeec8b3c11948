package io.damaskyoke.lab;

import io.damaskyoke.control.serving.ServingAction;
import io.damaskyoke.control.serving.ServingInput;
import io.damaskyoke.control.serving.ServingMachine;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Waiting at one plain upstream with places for eight, while one workspace sends four times what
 * all others send together: the real machine beside one line for all, first come first served.
 */
final class WaitingExperiment implements Experiment {
    private static final int PLACES = 8;
    private static final int QUEUE = 64;
    private static final double SECONDS_EACH = 0.5;
    private static final double MODEST_LOAD = 0.4;
    private static final double GREEDY_LOAD = 1.6;
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    @Override
    public String name() {
        return "waiting";
    }

    @Override
    public List<Row> run(Deployment deployment, long seed, Fault fault) {
        List<Row> rows = new ArrayList<>(new Run(deployment, seed, true).rows("naive"));
        rows.addAll(new Run(deployment, seed, false).rows("ours"));
        return rows;
    }

    private record Event(Instant at, long number, ServingInput input, int workspace) {}

    private static final class Run {
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        Comparator.comparing(Event::at).thenComparingLong(Event::number));
        private final Map<ExchangeId, Event> asked = new HashMap<>();
        private final List<List<Double>> waits = new ArrayList<>();
        private final Random random;
        private final ServingMachine machine;
        private final boolean oneLine;
        private final Instant end;
        private final int workspaces;
        private final int[] arrived;
        private final int[] refused;
        private long number;

        Run(Deployment deployment, long seed, boolean oneLine) {
            this.random = new Random(seed);
            this.oneLine = oneLine;
            this.machine = ServingMachine.of(PLACES, QUEUE);
            this.end = Instant.EPOCH.plus(deployment.length());
            this.workspaces = deployment.workspaces();
            this.arrived = new int[workspaces];
            this.refused = new int[workspaces];
            for (int i = 0; i < workspaces; i++) {
                waits.add(new ArrayList<>());
                next(i, Instant.EPOCH);
            }
        }

        List<Row> rows(String policy) {
            while (!events.isEmpty()) {
                Event event = events.remove();
                if (event.input() instanceof ServingInput.RequestArrived request) {
                    arrived[event.workspace()]++;
                    asked.put(request.id(), event);
                    next(event.workspace(), event.at());
                }
                for (ServingAction action : machine.on(event.input(), event.at())) {
                    carryOut(action, event.at());
                }
            }
            double wait = 0;
            double refusals = 0;
            for (int i = 1; i < workspaces; i++) {
                List<Double> sorted = waits.get(i).stream().sorted().toList();
                wait = Math.max(wait, sorted.get((int) (sorted.size() * 0.95)));
                refusals = Math.max(refusals, 100.0 * refused[i] / arrived[i]);
            }
            return List.of(
                    new Row("waiting", policy, "wait p95, worst modest workspace", "s", wait),
                    new Row("waiting", policy, "refused, worst modest workspace", "%", refusals));
        }

        private void carryOut(ServingAction action, Instant now) {
            if (action instanceof ServingAction.Run run) {
                Event event = asked.remove(run.id());
                double waited = Duration.between(event.at(), now).toMillis() / 1000.0;
                waits.get(event.workspace()).add(waited);
                Duration lasts = exponential(SECONDS_EACH);
                add(now.plus(lasts), new ServingInput.RunFinished(run.id()), event.workspace());
            } else if (action instanceof ServingAction.Refuse refuse) {
                refused[asked.remove(refuse.id()).workspace()]++;
            }
        }

        private void next(int workspace, Instant now) {
            double load = workspace == 0 ? GREEDY_LOAD : MODEST_LOAD / (workspaces - 1);
            Instant at = now.plus(exponential(SECONDS_EACH / (PLACES * load)));
            if (at.isBefore(end)) {
                ExchangeId id = new ExchangeId(Incarnation.of("router-0:1"), ++number);
                WorkspaceId line = WorkspaceId.of("workspace-" + (oneLine ? 0 : workspace));
                add(
                        at,
                        new ServingInput.RequestArrived(
                                id, line, Optional.empty(), at.plus(DEADLINE)),
                        workspace);
            }
        }

        private void add(Instant at, ServingInput input, int workspace) {
            events.add(new Event(at, ++number, input, workspace));
        }

        private Duration exponential(double mean) {
            return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) * mean * 1e9));
        }
    }
}
