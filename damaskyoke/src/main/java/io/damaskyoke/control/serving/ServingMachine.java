package io.damaskyoke.control.serving;

import io.damaskyoke.control.Machine;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
    private final Map<ExchangeId, Waiting> waiting = new LinkedHashMap<>();
    private final Map<ExchangeId, Optional<ModelName>> running = new HashMap<>();
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
            ready(given.id());
        } else if (input instanceof ServingInput.Unavailable refused) {
            unavailable(refused, actions);
        } else if (input instanceof ServingInput.Finished finished) {
            finish(finished.id(), actions);
        } else if (input instanceof ServingInput.Gone gone) {
            gone(gone.id(), actions);
        } else if (input instanceof ServingInput.Drain) {
            draining = true;
        } else {
            refuseLate(now, actions);
        }
    }

    private void arrive(ServingInput.Arrived arrived, Instant now, List<ServingAction> actions) {
        Optional<Refusal> refusal = atTheDoor(arrived, now);
        if (refusal.isPresent()) {
            actions.add(new ServingAction.Refuse(arrived.id(), refusal.get()));
            return;
        }
        waiting.put(arrived.id(), new Waiting(arrived));
        arrived.model().ifPresent(model -> actions.add(want(model, arrived)));
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

    private void ready(ExchangeId id) {
        Waiting request = waiting.get(id);
        if (request != null) {
            request.ready = true;
        }
    }

    private void unavailable(ServingInput.Unavailable refused, List<ServingAction> actions) {
        if (waiting.remove(refused.id()) != null) {
            actions.add(new ServingAction.Refuse(refused.id(), refused.refusal()));
        }
    }

    private void finish(ExchangeId id, List<ServingAction> actions) {
        Optional<ModelName> model = running.remove(id);
        if (model != null) {
            model.ifPresent(name -> actions.add(new ServingAction.Leave(name)));
        }
    }

    private void gone(ExchangeId id, List<ServingAction> actions) {
        Waiting request = waiting.remove(id);
        if (request != null) {
            letGo(request, actions);
        }
    }

    private void refuseLate(Instant now, List<ServingAction> actions) {
        Refusal late = Refusal.notRun(RefusalCode.DEADLINE_EXCEEDED, "waited too long");
        Iterator<Waiting> all = waiting.values().iterator();
        while (all.hasNext()) {
            Waiting request = all.next();
            if (!now.isBefore(request.arrived.deadline())) {
                all.remove();
                letGo(request, actions);
                actions.add(new ServingAction.Refuse(request.arrived.id(), late));
            }
        }
    }

    private void runWhatCan(List<ServingAction> actions) {
        Iterator<Waiting> all = waiting.values().iterator();
        while (all.hasNext() && running.size() < maxRunning) {
            Waiting next = all.next();
            if (next.ready) {
                all.remove();
                running.put(next.arrived.id(), next.arrived.model());
                actions.add(new ServingAction.Run(next.arrived.id()));
            }
        }
    }

    private static void letGo(Waiting request, List<ServingAction> actions) {
        ExchangeId id = request.arrived.id();
        request.arrived
                .model()
                .map(
                        model ->
                                request.ready
                                        ? new ServingAction.Leave(model)
                                        : new ServingAction.GiveUp(id, model))
                .ifPresent(actions::add);
    }

    private static ServingAction want(ModelName model, ServingInput.Arrived request) {
        return new ServingAction.Want(request.id(), model, request.workspace(), request.deadline());
    }

    /** A request that waits; one for a plain service is ready from the start. */
    private static final class Waiting {
        private final ServingInput.Arrived arrived;
        private boolean ready;

        Waiting(ServingInput.Arrived arrived) {
            this.arrived = arrived;
            this.ready = arrived.model().isEmpty();
        }
    }
}
