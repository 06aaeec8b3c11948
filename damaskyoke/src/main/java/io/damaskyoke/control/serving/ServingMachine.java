package io.damaskyoke.control.serving;

import io.damaskyoke.control.Machine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The requests at one agent: those that wait and those at the upstream.
 *
 * <p>Every request that arrives leads to exactly one {@code Run} or one {@code Refuse}, at the
 * latest at the first tick after its deadline. No more than {@code maxRunning} are at the upstream.
 */
public final class ServingMachine implements Machine<ServingInput, ServingAction> {
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final int maxRunning;
    private final int maxWaiting;
    private final Map<ExchangeId, ServingInput.Arrived> waiting = new LinkedHashMap<>();
    private final Map<ExchangeId, Optional<ModelName>> running = new HashMap<>();
    private final Set<ModelName> ready = new HashSet<>();
    private boolean draining;

    private ServingMachine(int maxRunning, int maxWaiting) {
        this.maxRunning = maxRunning;
        this.maxWaiting = maxWaiting;
    }

    /** A machine for an upstream that takes this many at once, before a queue of this length. */
    public static ServingMachine of(int maxRunning, int maxWaiting) {
        if (maxRunning < 1 || maxWaiting < 1) {
            throw new IllegalArgumentException("limits must be at least 1 running and 1 waiting");
        }
        return new ServingMachine(maxRunning, maxWaiting);
    }

    @Override
    public List<ServingAction> on(ServingInput input, Instant now) {
        List<ServingAction> actions = new ArrayList<>();
        take(input, now, actions);
        runWhatCan(actions);
        return actions;
    }

    /** Requests at the upstream. */
    public int running() {
        return running.size();
    }

    /** True if this request is at the upstream. */
    public boolean isRunning(ExchangeId id) {
        return running.containsKey(id);
    }

    /** Requests that wait. */
    public int waiting() {
        return waiting.size();
    }

    /** True once nothing runs or waits and nothing new is taken. */
    public boolean drained() {
        return draining && running.isEmpty() && waiting.isEmpty();
    }

    private void take(ServingInput input, Instant now, List<ServingAction> actions) {
        if (input instanceof ServingInput.Arrived arrived) {
            arrive(arrived, now, actions);
        } else if (input instanceof ServingInput.Ready given) {
            ready.add(given.model());
        } else if (input instanceof ServingInput.Unready lost) {
            unready(lost.model(), actions);
        } else if (input instanceof ServingInput.Unavailable refused) {
            refuseAll(waits -> waitsFor(waits, refused.model()), refused.refusal(), actions);
        } else if (input instanceof ServingInput.Finished finished) {
            finish(finished.id(), actions);
        } else if (input instanceof ServingInput.Gone gone) {
            waiting.remove(gone.id());
        } else if (input instanceof ServingInput.Drain) {
            draining = true;
        } else {
            Refusal late = Refusal.notRun(RefusalCode.DEADLINE_EXCEEDED, "waited too long");
            refuseAll(waits -> !now.isBefore(waits.deadline()), late, actions);
        }
    }

    private void arrive(ServingInput.Arrived arrived, Instant now, List<ServingAction> actions) {
        Optional<Refusal> refusal = atTheDoor(arrived, now);
        if (refusal.isPresent()) {
            actions.add(new ServingAction.Refuse(arrived.id(), refusal.get()));
            return;
        }
        waiting.put(arrived.id(), arrived);
        arrived.model()
                .filter(model -> !ready.contains(model.name()))
                .ifPresent(model -> actions.add(want(model, arrived)));
    }

    private Optional<Refusal> atTheDoor(ServingInput.Arrived arrived, Instant now) {
        if (draining) {
            return refusal(RefusalCode.STOPPING, "this agent takes no new work");
        }
        if (!now.isBefore(arrived.deadline())) {
            return refusal(RefusalCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        if (waiting.size() >= maxWaiting) {
            return refusal(RefusalCode.OVERLOADED, "too many requests wait here");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refusal(RefusalCode code, String message) {
        return Optional.of(Refusal.notRun(code, message).retryAfter(COME_BACK));
    }

    private void unready(ModelName model, List<ServingAction> actions) {
        ready.remove(model);
        waiting.values().stream()
                .filter(waits -> waitsFor(waits, model))
                .forEach(waits -> actions.add(want(waits.model().orElseThrow(), waits)));
    }

    private void finish(ExchangeId id, List<ServingAction> actions) {
        Optional<ModelName> model = running.remove(id);
        if (model != null) {
            model.ifPresent(name -> actions.add(new ServingAction.Leave(name)));
        }
    }

    private void refuseAll(
            Predicate<ServingInput.Arrived> which, Refusal refusal, List<ServingAction> actions) {
        Iterator<ServingInput.Arrived> all = waiting.values().iterator();
        while (all.hasNext()) {
            ServingInput.Arrived waits = all.next();
            if (which.test(waits)) {
                all.remove();
                actions.add(new ServingAction.Refuse(waits.id(), refusal));
            }
        }
    }

    private void runWhatCan(List<ServingAction> actions) {
        Iterator<ServingInput.Arrived> all = waiting.values().iterator();
        while (all.hasNext() && running.size() < maxRunning) {
            ServingInput.Arrived next = all.next();
            Optional<ModelName> model = next.model().map(Model::name);
            if (model.isEmpty() || ready.contains(model.get())) {
                all.remove();
                running.put(next.id(), model);
                model.ifPresent(name -> actions.add(new ServingAction.Use(name)));
                actions.add(new ServingAction.Run(next.id()));
            }
        }
    }

    private static ServingAction want(Model model, ServingInput.Arrived request) {
        return new ServingAction.Want(model, request.workspace(), request.deadline());
    }

    private static boolean waitsFor(ServingInput.Arrived request, ModelName model) {
        return request.model().map(wanted -> wanted.name().equals(model)).orElse(false);
    }
}
