package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Applies the answers of upstreams to load and unload orders: {@code answers.apply(answer, engine,
 * now, actions)}.
 */
final class OrderAnswers {
    /** Pause after a conflict, in which the upstream can finish the order that it carries out. */
    private static final Duration PAUSE_AFTER_CONFLICT = Duration.ofMillis(80);

    /** Pause after an upstream has refused an order. */
    private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(500);

    private final UnansweredLoadOrders unansweredOrders;
    private final StoreLoadLimiter storeLoadLimiter;

    OrderAnswers(UnansweredLoadOrders unansweredOrders, StoreLoadLimiter storeLoadLimiter) {
        this.unansweredOrders = unansweredOrders;
        this.storeLoadLimiter = storeLoadLimiter;
    }

    /**
     * Applies an answer, and adds what follows from it to the actions.
     *
     * <p>An order without an answer may be carried out seconds later. The next order need not wait
     * for that: it names the same number of accepted orders, so the upstream accepts only one of
     * the two.
     *
     * @param known the engine that the order was for, if it is still listed
     */
    void apply(
            LoadInput.OrderAnswered answer,
            Optional<EngineState> known,
            Instant now,
            List<LoadAction> actions) {
        if (answer.outcome() == OrderOutcome.UNKNOWN) {
            unansweredOrders
                    .find(answer.upstream(), answer.number())
                    .ifPresent(load -> actions.add(new LoadAction.AnnounceUnansweredLoad(load)));
        } else {
            unansweredOrders.removeAnswered(answer.upstream(), answer.number());
        }
        known.filter(engine -> isPending(engine, answer.number()))
                .ifPresent(engine -> apply(answer.outcome(), engine, now, actions));
    }

    private static boolean isPending(EngineState engine, long number) {
        return engine.pending() != null && engine.pending().number() == number;
    }

    private void apply(
            OrderOutcome outcome, EngineState engine, Instant now, List<LoadAction> actions) {
        switch (outcome) {
            case ACCEPTED -> accepted(engine, now, actions);
            case DONE -> done(engine, now, actions);
            case CONFLICT -> conflicted(engine, now, actions);
            case UNKNOWN -> {
                engine.orderFinished();
                engine.requireReport();
            }
            default -> {
                engine.orderFinished();
                engine.requireReport();
                engine.setPlannedLoad(null);
                engine.pauseUntil(now.plus(PAUSE_AFTER_REFUSAL));
            }
        }
    }

    private void conflicted(EngineState engine, Instant now, List<LoadAction> actions) {
        PendingOrder pending = engine.pending();
        storeLoadLimiter.loadCanceled(pending.number());
        engine.orderFinished();
        engine.pauseUntil(now.plus(PAUSE_AFTER_CONFLICT));
        if (!engine.hasAssumedLoad()) {
            engine.requireReport();
            return;
        }
        boolean loadsModel =
                pending.operation() == OrderOperation.LOAD && !pending.model().hasAdapter();
        if (loadsModel) {
            engine.setPlannedLoad(EngineState.PlannedLoad.from(pending.model().model(), now));
        }
        // The order before this one is probably still carried out.
        engine.withdrawAssumedLoad();
        actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
    }

    private static void accepted(EngineState engine, Instant now, List<LoadAction> actions) {
        PendingOrder pending = engine.pending();
        ModelRef model = pending.model();
        if (pending.operation() == OrderOperation.UNLOAD) {
            engine.orderAccepted(now);
            engine.unloaded(model);
            actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
            return;
        }
        if (model.hasAdapter()) {
            engine.orderAccepted(now);
            engine.addLoadingAdapter(model, now.plus(engine.adapterLoadTime(model.model())));
            engine.orderFinished();
            return;
        }
        Duration loadTime = engine.loadTime(model.model(), pending.source());
        engine.orderAccepted(now.plus(loadTime));
    }

    private static void done(EngineState engine, Instant now, List<LoadAction> actions) {
        PendingOrder pending = engine.pending();
        engine.orderFinished();
        engine.confirmAssumedLoad();
        if (pending.operation() == OrderOperation.UNLOAD) {
            engine.setSequence(engine.held().sequence() + 1);
            engine.unloaded(pending.model());
        } else {
            engine.foundLoaded(pending.model(), now);
        }
        actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
    }
}
