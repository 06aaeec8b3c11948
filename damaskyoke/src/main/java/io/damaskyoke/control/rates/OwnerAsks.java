package io.damaskyoke.control.rates;

import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests of one workspace for which this router has asked the one that has most of its tokens, or
 * another one, each on its own.
 */
final class OwnerAsks {
    /** An owner that did not answer is left alone for this; others are asked meanwhile. */
    static final Duration AFTER_SILENCE = Duration.ofMillis(200);

    private final Map<String, Ask> open = new LinkedHashMap<>();
    private final Map<String, Ask> lapsed = new LinkedHashMap<>();
    private final AnswerTime answerTime;
    private Instant silentUntil = Instant.MIN;
    private boolean doubted;

    /**
     * One request.
     *
     * @param lender who is asked
     * @param next who is asked after that
     * @param ofOwner whether the lender has most of the workspace
     * @param aside tokens that were here, set aside for it
     * @param queued whether the lender has said that the tokens will follow
     */
    record Ask(
            Held request,
            VmId lender,
            List<VmId> next,
            boolean ofOwner,
            double aside,
            Instant askedAt,
            boolean queued) {
        private Ask queuedThere() {
            return new Ask(request, lender, next, ofOwner, aside, askedAt, true);
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

    /** The lender has answered with tokens, or that there are none. */
    void answered(String loan, Instant now) {
        Ask ask = open.remove(loan);
        heard(ask);
        if (!ask.queued()) {
            answerTime.heardAfter(Duration.between(ask.askedAt(), now));
        }
    }

    /** The owner has answered that the request waits there. */
    void queued(String loan, Instant now) {
        Ask ask = open.get(loan);
        heard(ask);
        answerTime.heardAfter(Duration.between(ask.askedAt(), now));
        open.put(loan, ask.queuedThere());
    }

    /** The ask that was given up and is answered after all; null if there is none. */
    Ask late(String loan, Instant now) {
        Ask ask = lapsed.remove(loan);
        if (ask != null) {
            heard(ask);
            answerTime.heardAfter(Duration.between(ask.askedAt(), now));
        }
        return ask;
    }

    private void heard(Ask ask) {
        if (ask.ofOwner()) {
            doubted = false;
            silentUntil = Instant.MIN;
        }
    }

    /** Tokens that are set aside for all of them. */
    double aside() {
        return open.values().stream().mapToDouble(Ask::aside).sum();
    }

    int size() {
        return open.size();
    }

    /** True if the owner may be asked: after a silence for one request, until it answers. */
    boolean mayAskOwner(Instant now) {
        return !now.isBefore(silentUntil) && !(doubted && ownerAsked());
    }

    private boolean ownerAsked() {
        return open.values().stream().anyMatch(Ask::ofOwner);
    }

    /** Takes out those that were not answered in time; late answers count for so long. */
    List<Ask> givenUp(Instant now, Duration lapses) {
        lapsed.values().removeIf(each -> !now.isBefore(each.askedAt().plus(lapses)));
        List<Ask> late = new ArrayList<>();
        Duration patience = answerTime.patience();
        Iterator<Map.Entry<String, Ask>> all = open.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, Ask> entry = all.next();
            Ask ask = entry.getValue();
            boolean unheard = ask.unheard(now, patience);
            if (unheard || ask.over(now, patience)) {
                all.remove();
                late.add(ask);
                lapsed.put(entry.getKey(), ask);
                noteSilence(ask, unheard, now);
            }
        }
        return late;
    }

    private void noteSilence(Ask ask, boolean unheard, Instant now) {
        if (unheard) {
            answerTime.unheard();
        }
        if (ask.ofOwner()) {
            silentUntil = now.plus(AFTER_SILENCE);
            doubted = true;
        }
    }
}
