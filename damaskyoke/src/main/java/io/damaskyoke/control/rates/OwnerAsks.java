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
    /** An owner that did not answer is left alone for this; others are asked meanwhile. */
    static final Duration AFTER_SILENCE = Duration.ofMillis(200);

    private final Map<String, Ask> open = new LinkedHashMap<>();
    private final AnswerTime answerTime;
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

        private boolean unheard(Instant now, Duration patience) {
            return !queued && !now.isBefore(askedAt.plus(patience));
        }

        private boolean over(Instant now, Duration patience) {
            return !now.isBefore(request.until().plus(patience));
        }
    }

    OwnerAsks(AnswerTime answerTime) {
        this.answerTime = answerTime;
    }

    void add(String loan, Ask ask) {
        open.put(loan, ask);
    }

    Ask find(String loan) {
        return open.get(loan);
    }

    /** The owner has answered with tokens, or that there are none. */
    Ask answered(String loan, Instant now) {
        Ask ask = open.remove(loan);
        if (!ask.queued()) {
            answerTime.heardAfter(Duration.between(ask.askedAt(), now));
        }
        return ask;
    }

    /** The owner has answered that the request waits there. */
    void queued(String loan, Instant now) {
        answerTime.heardAfter(Duration.between(open.get(loan).askedAt(), now));
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
        Duration patience = answerTime.patience();
        for (Ask ask : open.values()) {
            boolean unheard = ask.unheard(now, patience);
            if (unheard || ask.over(now, patience)) {
                late.add(ask);
                if (unheard) {
                    answerTime.unheard();
                }
                silentUntil = now.plus(AFTER_SILENCE);
            }
        }
        open.values().removeAll(late);
        return late;
    }
}
