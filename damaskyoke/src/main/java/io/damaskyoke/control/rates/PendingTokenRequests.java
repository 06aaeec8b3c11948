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
final class PendingTokenRequests {
    /**
     * An owner that did not answer is not asked again for this long; others are asked meanwhile.
     */
    static final Duration AFTER_SILENCE = Duration.ofMillis(200);

    private final Map<String, PendingTokenRequests.PendingRequest> open = new LinkedHashMap<>();
    private final Map<String, PendingTokenRequests.PendingRequest> lapsed = new LinkedHashMap<>();
    private final AnswerTimeEstimate answerTime;
    private Instant silentUntil = Instant.MIN;
    private boolean doubted;

    /**
     * One request and the token request sent for it.
     *
     * @param lender the router that was asked
     * @param nextLenders the routers to ask after that
     * @param lenderIsOwner whether the lender is the owner of the workspace
     * @param setAside the local tokens that are set aside for the request
     * @param requestedAt when the token request was sent
     * @param queued whether the lender has answered that the tokens will follow
     */
    record PendingRequest(
            QueuedRequest request,
            VmId lender,
            List<VmId> nextLenders,
            boolean lenderIsOwner,
            double setAside,
            Instant requestedAt,
            boolean queued) {
        private PendingTokenRequests.PendingRequest asQueued() {
            return new PendingTokenRequests.PendingRequest(
                    request, lender, nextLenders, lenderIsOwner, setAside, requestedAt, true);
        }

        private boolean isUnanswered(Instant now, Duration patience) {
            return !queued && !now.isBefore(requestedAt.plus(patience));
        }

        private boolean isExpired(Instant now, Duration patience) {
            return !now.isBefore(request.deadline().plus(patience));
        }
    }

    PendingTokenRequests(AnswerTimeEstimate answerTime) {
        this.answerTime = answerTime;
    }

    void add(String loan, PendingTokenRequests.PendingRequest ask) {
        open.put(loan, ask);
    }

    PendingTokenRequests.PendingRequest find(String loan) {
        return open.get(loan);
    }

    /** Records that the lender answered with tokens, or that it has none. */
    void recordAnswer(String loan, Instant now) {
        PendingTokenRequests.PendingRequest ask = open.remove(loan);
        clearOwnerSilence(ask);
        if (!ask.queued()) {
            answerTime.recordAnswer(Duration.between(ask.requestedAt(), now));
        }
    }

    /** Records that the owner queued the request. */
    void recordQueued(String loan, Instant now) {
        PendingTokenRequests.PendingRequest ask = open.get(loan);
        clearOwnerSilence(ask);
        answerTime.recordAnswer(Duration.between(ask.requestedAt(), now));
        open.put(loan, ask.asQueued());
    }

    /**
     * Returns the token request that had timed out and is answered after all, or null if there is
     * none.
     */
    PendingTokenRequests.PendingRequest recordLateAnswer(String loan, Instant now) {
        PendingTokenRequests.PendingRequest ask = lapsed.remove(loan);
        if (ask != null) {
            clearOwnerSilence(ask);
            answerTime.recordAnswer(Duration.between(ask.requestedAt(), now));
        }
        return ask;
    }

    private void clearOwnerSilence(PendingTokenRequests.PendingRequest ask) {
        if (ask.lenderIsOwner()) {
            doubted = false;
            silentUntil = Instant.MIN;
        }
    }

    /** Returns the tokens set aside for all pending requests. */
    double setAsideTokens() {
        return open.values().stream()
                .mapToDouble(PendingTokenRequests.PendingRequest::setAside)
                .sum();
    }

    int size() {
        return open.size();
    }

    /**
     * Returns whether the owner may be asked. After a timeout it is asked for one request only,
     * until it answers.
     */
    boolean mayAskOwner(Instant now) {
        return !now.isBefore(silentUntil) && !(doubted && hasOwnerRequest());
    }

    private boolean hasOwnerRequest() {
        return open.values().stream().anyMatch(PendingTokenRequests.PendingRequest::lenderIsOwner);
    }

    /**
     * Removes and returns the requests that were not answered in time. A late answer to them is
     * still accepted for the given time after the request was sent.
     */
    List<PendingTokenRequests.PendingRequest> removeTimedOut(Instant now, Duration lapses) {
        lapsed.values().removeIf(each -> !now.isBefore(each.requestedAt().plus(lapses)));
        List<PendingTokenRequests.PendingRequest> late = new ArrayList<>();
        Duration patience = answerTime.timeout();
        Iterator<Map.Entry<String, PendingTokenRequests.PendingRequest>> all =
                open.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, PendingTokenRequests.PendingRequest> entry = all.next();
            PendingTokenRequests.PendingRequest ask = entry.getValue();
            boolean unheard = ask.isUnanswered(now, patience);
            if (unheard || ask.isExpired(now, patience)) {
                all.remove();
                late.add(ask);
                lapsed.put(entry.getKey(), ask);
                recordSilence(ask, unheard, now);
            }
        }
        return late;
    }

    private void recordSilence(
            PendingTokenRequests.PendingRequest ask, boolean unheard, Instant now) {
        if (unheard) {
            answerTime.recordTimeout();
        }
        if (ask.lenderIsOwner()) {
            silentUntil = now.plus(AFTER_SILENCE);
            doubted = true;
        }
    }
}
