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
    static final Duration OWNER_RETRY_DELAY = Duration.ofMillis(200);

    private final Map<String, PendingRequest> pending = new LinkedHashMap<>();
    private final Map<String, PendingRequest> timedOut = new LinkedHashMap<>();
    private final AnswerTimeEstimate answerTime;
    private Instant ownerRetryAt = Instant.MIN;
    private boolean ownerUnconfirmed;

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
        private PendingRequest asQueued() {
            return new PendingRequest(
                    request, lender, nextLenders, lenderIsOwner, setAside, requestedAt, true);
        }

        private boolean isUnanswered(Instant now, Duration timeout) {
            return !queued && !now.isBefore(requestedAt.plus(timeout));
        }

        private boolean isExpired(Instant now, Duration timeout) {
            return !now.isBefore(request.deadline().plus(timeout));
        }
    }

    PendingTokenRequests(AnswerTimeEstimate answerTime) {
        this.answerTime = answerTime;
    }

    void add(String transferId, PendingRequest request) {
        pending.put(transferId, request);
    }

    PendingRequest find(String transferId) {
        return pending.get(transferId);
    }

    /** Records that the lender answered with tokens, or that it has none. */
    void recordAnswer(String transferId, Instant now) {
        PendingRequest request = pending.remove(transferId);
        clearOwnerSilence(request);
        if (!request.queued()) {
            answerTime.recordAnswer(Duration.between(request.requestedAt(), now));
        }
    }

    /** Records that the owner queued the request. */
    void recordQueued(String transferId, Instant now) {
        PendingRequest request = pending.get(transferId);
        clearOwnerSilence(request);
        answerTime.recordAnswer(Duration.between(request.requestedAt(), now));
        pending.put(transferId, request.asQueued());
    }

    /**
     * Returns the token request that had timed out and is answered after all, or null if there is
     * none.
     */
    PendingRequest recordLateAnswer(String transferId, Instant now) {
        PendingRequest request = timedOut.remove(transferId);
        if (request != null) {
            clearOwnerSilence(request);
            answerTime.recordAnswer(Duration.between(request.requestedAt(), now));
        }
        return request;
    }

    private void clearOwnerSilence(PendingRequest request) {
        if (request.lenderIsOwner()) {
            ownerUnconfirmed = false;
            ownerRetryAt = Instant.MIN;
        }
    }

    /** Returns the tokens set aside for all pending requests. */
    double setAsideTokens() {
        return pending.values().stream().mapToDouble(PendingRequest::setAside).sum();
    }

    int size() {
        return pending.size();
    }

    /**
     * Returns whether the owner may be asked. After a timeout it is asked for one request only,
     * until it answers.
     */
    boolean mayAskOwner(Instant now) {
        return !now.isBefore(ownerRetryAt) && !(ownerUnconfirmed && hasOwnerRequest());
    }

    private boolean hasOwnerRequest() {
        return pending.values().stream().anyMatch(PendingRequest::lenderIsOwner);
    }

    /**
     * Removes and returns the requests that were not answered in time. A late answer to them is
     * still accepted for the given time after the request was sent.
     */
    List<PendingRequest> removeTimedOut(Instant now, Duration acceptLateFor) {
        timedOut.values().removeIf(each -> !now.isBefore(each.requestedAt().plus(acceptLateFor)));
        List<PendingRequest> removed = new ArrayList<>();
        Duration timeout = answerTime.timeout();
        Iterator<Map.Entry<String, PendingRequest>> all = pending.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, PendingRequest> entry = all.next();
            PendingRequest request = entry.getValue();
            boolean unanswered = request.isUnanswered(now, timeout);
            if (unanswered || request.isExpired(now, timeout)) {
                all.remove();
                removed.add(request);
                timedOut.put(entry.getKey(), request);
                recordSilence(request, unanswered, now);
            }
        }
        return removed;
    }

    private void recordSilence(PendingRequest request, boolean unanswered, Instant now) {
        if (unanswered) {
            answerTime.recordTimeout();
        }
        if (request.lenderIsOwner()) {
            ownerRetryAt = now.plus(OWNER_RETRY_DELAY);
            ownerUnconfirmed = true;
        }
    }
}
