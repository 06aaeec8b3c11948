package io.damaskyoke.control.waiting;

import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides which of the requests that are predicted to wait too long are refused at arrival. One
 * request for each model in each second is queued all the same: its wait corrects a wrong
 * prediction, and the leader loads models only for queued requests.
 */
public final class ArrivalRefusals {
    private static final Logger LOG = LogManager.getLogger(ArrivalRefusals.class);

    private static final Duration QUEUED_EVERY = Duration.ofSeconds(1);

    /** Without a refusal for this long, refusals for a model have ended. */
    private static final Duration ENDS_AFTER = Duration.ofSeconds(5);

    /** Limits the memory, as callers may request any name; the least recently used is dropped. */
    private static final int MAX_MODELS = 4_096;

    private final Map<ModelRef, State> byModel = new LruMap<>(MAX_MODELS);

    private static final class State {
        private Instant queuedAt;
        private Instant refusedAt;
        private int refused;
    }

    /** Returns true if the request, which is predicted to wait too long, is to be refused now. */
    public boolean refuses(ModelRef model, Duration expectedWait, Instant now) {
        State state = byModel.computeIfAbsent(model, any -> new State());
        if (state.queuedAt == null || !now.isBefore(state.queuedAt.plus(QUEUED_EVERY))) {
            state.queuedAt = now;
            return false;
        }
        if (state.refused == 0) {
            LOG.info(
                    "refusing requests at arrival for model {}, expected in {} ms",
                    model,
                    expectedWait.toMillis());
        }
        state.refused++;
        state.refusedAt = now;
        return true;
    }

    /** Records that requests for the model can be sent in time. */
    public void recordInTime(ModelRef model) {
        if (!byModel.isEmpty()) {
            end(model, byModel.remove(model));
        }
    }

    /** Ends the refusals for models that had none for some seconds. */
    public void expire(Instant now) {
        byModel.entrySet()
                .removeIf(
                        entry -> {
                            boolean expired = isExpired(entry.getValue(), now);
                            if (expired) {
                                end(entry.getKey(), entry.getValue());
                            }
                            return expired;
                        });
    }

    private static boolean isExpired(State state, Instant now) {
        Instant last = state.refusedAt == null ? state.queuedAt : state.refusedAt;
        return !now.isBefore(last.plus(ENDS_AFTER));
    }

    private static void end(ModelRef model, State state) {
        if (state != null && state.refused > 0) {
            LOG.info(
                    "no longer refusing requests at arrival for model {}, {} were refused",
                    model,
                    state.refused);
        }
    }
}
