package io.damaskyoke.control.rates;

import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests of one workspace for which this router has asked the one that has most of its tokens,
 * each on its own.
 */
final class OwnerAsks {
    /** An owner answers in a few milliseconds, if only that the request is queued. */
    static final Duration PATIENCE = Duration.ofMillis(40);

    /** An owner that did not answer is left alone for this; others are asked meanwhile. */
    static final Duration AFTER_SILENCE = Duration.ofMillis(200);

    private final Map<String, Ask> open = new LinkedHashMap<>();
    private Instant silentUntil = Instant.MIN;

    /**
     * One request.
     *
     * @param aside tokens that were here, set aside for it
     * @param queued whether the owner has said that the tokens will follow
     */
    record Ask(Held request, VmId owner, double aside, Instant askedAt, boolean queued) {
        private Ask queuedThere() {
            return new Ask(request, owner, aside, askedAt, true);
        }

        private boolean unheard(Instant now) {
            return !queued && !now.isBefore(askedAt.plus(PATIENCE));
        }

        private boolean over(Instant now) {
            return !now.isBefore(request.until().plus(PATIENCE));
        }
    }

    void add(String loan, Ask ask) {
        open.put(loan, ask);
    }

    Ask find(String loan) {
        return open.get(loan);
    }

    Ask remove(String loan) {
        return open.remove(loan);
    }

    void queued(String loan) {
        open.computeIfPresent(loan, (any, ask) -> ask.queuedThere());
    }

    /** Tokens that are set aside for all of them. */
    double aside() {
        return open.values().stream().mapToDouble(Ask::aside).sum();
    }

    int size() {
        return open.size();
    }

    /** True if the owner said nothing to the last asks. */
    boolean silent(Instant now) {
        return now.isBefore(silentUntil);
    }

    /** Takes out those to which the owner has said nothing, or not in time. */
    List<Ask> givenUp(Instant now) {
        List<Ask> late = new ArrayList<>();
        for (Ask ask : open.values()) {
            if (ask.unheard(now) || ask.over(now)) {
                late.add(ask);
                silentUntil = now.plus(AFTER_SILENCE);
            }
        }
        open.values().removeAll(late);
        return late;
    }
}
