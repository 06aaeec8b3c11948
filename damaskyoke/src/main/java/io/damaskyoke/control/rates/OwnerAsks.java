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
 * The requests of one workspace for which this router has sent a token request and awaits the
 * answer, one token request for each, to the owner or to another lender.
 */
final class OwnerAsks {
    /**
     * An owner that did not answer is not asked again for this long; others are asked meanwhile.
     */
    static final Duration AFTER_SILENCE = Duration.ofMillis(200);

    private final Map<String, Ask> open = new LinkedHashMap<>();
    private final Map<String, Ask> lapsed = new LinkedHashMap<>();
    private final AnswerTime answerTime;
    private Instant silentUntil = Instant.MIN;
    private boolean doubted;

    /**
     * One request and the token request sent for it.
     *
     * @param lender the router that was asked
     * @param next the routers to ask after that
     * @param ofOwner whether the lender is the owner of the workspace
     * @param aside the local tokens that are set aside for the request
     * @param askedAt when the token request was sent
     * @param queued whether the lender has answered that the tokens will follow
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

    /** Records that the lender answered with tokens, or that it has none. */
    void answered(String loan, Instant now) {
        Ask ask = open.remove(loan);
        heard(ask);
        if (!ask.queued()) {
            answerTime.heardAfter(Duration.between(ask.askedAt(), now));
        }
    }

    /** Records that the owner queued the request. */
    void queued(String loan, Instant now) {
        Ask ask = open.get(loan);
        heard(ask);
        answerTime.heardAfter(Duration.between(ask.askedAt(), now));
        open.put(loan, ask.queuedThere());
    }

    /**
     * Returns the token request that had timed out and is answered after all, or null if there is
     * none.
     */
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

    /** Returns the tokens set aside for all pending requests. */
    double aside() {
        return open.values().stream().mapToDouble(Ask::aside).sum();
    }

    int size() {
        return open.size();
    }

    /**
     * Returns whether the owner may be asked. After a timeout it is asked for one request only,
     * until it answers.
     */
    boolean mayAskOwner(Instant now) {
        return !now.isBefore(silentUntil) && !(doubted && ownerAsked());
    }

    private boolean ownerAsked() {
        return open.values().stream().anyMatch(Ask::ofOwner);
    }

    /**
     * Removes and returns the requests that were not answered in time. A late answer to them is
     * still accepted for the given time after the request was sent.
     */
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
