package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Admits or refuses the requests in this router's queue, in queue order: its own callers' and those
 * that other routers queued here.
 */
final class QueueAdmission {
    /** A bucket filled to this fraction of its cap will overflow before long. */
    private static final double NEARLY_FULL = 0.7;

    /** Largest fraction of the owner's spendable tokens that one router may get ahead of need. */
    private static final double MAX_EXTRA_FRACTION = 0.25;

    /** A transfer lasts two seconds, and one router rarely gets more requests in that time. */
    private static final int MAX_EXTRA_REQUESTS = 3;

    private final Incarnation self;
    private final RateSettings settings;
    private final SpendingPermission permission;
    private final ShareBalancer balancer;
    private final BatchedBorrower batchedBorrower;
    private final StallDetector stalls;

    QueueAdmission(
            Incarnation self,
            RateSettings settings,
            SpendingPermission permission,
            ShareBalancer balancer,
            BatchedBorrower batchedBorrower,
            StallDetector stalls) {
        this.self = self;
        this.settings = settings;
        this.permission = permission;
        this.balancer = balancer;
        this.batchedBorrower = batchedBorrower;
        this.stalls = stalls;
    }

    /** Admits queued requests in order for as long as there are tokens for the next one. */
    void admit(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        if (!permission.maySpend(account, self, now)) {
            return;
        }
        QueuedRequest next = account.queue.first(now);
        while (next != null && tryServe(account, next, now, actions)) {
            account.queue.remove(next);
            next = account.queue.first(now);
        }
    }

    private boolean tryServe(
            WorkspaceAccount account,
            QueuedRequest request,
            Instant now,
            List<RateAction> actions) {
        if (request.borrower().isEmpty()) {
            boolean taken = account.take(request.tokens());
            if (taken) {
                actions.add(new RateAction.AdmitRequest(request.id().orElseThrow()));
            }
            return taken;
        }
        if (account.available() < request.tokens()) {
            return false;
        }
        QueuedRequest.Borrower borrower = request.borrower().get();
        long tokens = request.tokens() + extraTokens(account, request);
        account.lendIncludingBorrowed(
                borrower.transferId(), tokens, TokenLender.transferExpiry(settings, now));
        actions.add(
                new RateAction.SendTokenTransfer(
                        borrower.vm(), account.workspace.id(), tokens, borrower.transferId()));
        return true;
    }

    // While tokens are plentiful, the borrower also gets tokens for its next requests, which then
    // need no token request. Tokens that it does not spend in time are lost, which costs nothing as
    // long as they would have overflowed here.
    private static long extraTokens(WorkspaceAccount account, QueuedRequest request) {
        boolean nearlyFull = account.bucket.tokens() >= account.bucket.cap() * NEARLY_FULL;
        double remaining = account.available() - request.tokens();
        if (!nearlyFull || remaining <= 0 || account.queue.size() > 1) {
            return 0;
        }
        double nextRequests = (double) request.tokens() * MAX_EXTRA_REQUESTS;
        return (long) Math.min(nextRequests, remaining * MAX_EXTRA_FRACTION);
    }

    /** Refuses the requests that have timed out or cannot get tokens. */
    void refuseUnservable(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        if (balancer.isOwner(account) && permission.maySpend(account, self, now)) {
            refuseUnservableInTime(account, now, actions);
            return;
        }
        boolean noLenders = batchedBorrower.hasNoLenders(account);
        boolean cannotBeServed =
                permission.maySpend(account, self, now)
                        && (noLenders || batchedBorrower.allLendersEmpty(account))
                        && !accruesInTime(account, now)
                        && !(balancer.isJoining(now) && !balancer.hasShare(account));
        for (QueuedRequest request : account.queue.inOrder(now)) {
            boolean covered = noLenders || request.arrivalNumber() <= account.lastCoveredArrival;
            boolean refused = hasTimedOut(account, request, now) || cannotBeServed && covered;
            if (refused && account.queue.remove(request)) {
                refuseQueued(account, request, now, actions);
                admit(account, now, actions);
            }
        }
    }

    private boolean hasTimedOut(WorkspaceAccount account, QueuedRequest request, Instant now) {
        return request.isExpired(now)
                && !stalls.mayHideAnswer(request.deadline(), account.answerTime.timeout(), now);
    }

    private void refuseQueued(
            WorkspaceAccount account,
            QueuedRequest request,
            Instant now,
            List<RateAction> actions) {
        if (permission.maySpend(account, self, now)) {
            refuseRateExceeded(account, request, accrualTime(account, request), actions);
        } else {
            refuseUnconfirmed(account, request, actions);
        }
    }

    // An owner knows from its rate and balance when each request can have its tokens. A request
    // that cannot have them in time is refused now, with the time to retry after, and not at the
    // end of its wait.
    private void refuseUnservableInTime(
            WorkspaceAccount account, Instant now, List<RateAction> actions) {
        if (batchedBorrower.awaitsAnswers(account, now)) {
            return;
        }
        double rate = account.bucket.rate();
        double needed = -account.available();
        for (QueuedRequest request : account.queue.inOrder(now)) {
            double seconds = Math.max(0, needed + request.tokens()) / rate;
            Duration wait = Duration.ofMillis((long) Math.ceil(seconds * 1000));
            if (now.plus(wait).isAfter(request.deadline())) {
                account.queue.remove(request);
                refuseRateExceeded(account, request, wait, actions);
            } else {
                needed += request.tokens();
            }
        }
    }

    // Tokens that accrue here within the queue timeout need no transfer. A router that has just
    // started holds no tokens; without this check it would refuse requests for as long as it takes
    // to fill for one, though callers are well within their rate.
    private boolean accruesInTime(WorkspaceAccount account, Instant now) {
        QueuedRequest first = account.queue.first(now);
        if (first == null) {
            return false;
        }
        double missing = first.tokens() - account.available();
        double seconds = Duration.between(now, first.deadline()).toMillis() / 1000.0;
        double fraction = balancer.part(account) / (double) ShareTable.WHOLE;
        return missing <= fraction * account.workspace.rate() * seconds;
    }

    private static void refuseRateExceeded(
            WorkspaceAccount account,
            QueuedRequest request,
            Duration wait,
            List<RateAction> actions) {
        request.borrower()
                .ifPresent(
                        borrower ->
                                actions.add(
                                        new RateAction.SendTokenTransfer(
                                                borrower.vm(),
                                                account.workspace.id(),
                                                0,
                                                borrower.transferId(),
                                                false,
                                                wait)));
        request.id().ifPresent(id -> actions.add(RateRefusals.rateExceeded(id, wait)));
    }

    private static void refuseUnconfirmed(
            WorkspaceAccount account, QueuedRequest request, List<RateAction> actions) {
        request.borrower()
                .ifPresent(
                        borrower ->
                                actions.add(
                                        new RateAction.SendTokenTransfer(
                                                borrower.vm(),
                                                account.workspace.id(),
                                                0,
                                                borrower.transferId())));
        request.id().ifPresent(id -> actions.add(RateRefusals.unconfirmed(id)));
    }

    private static Duration accrualTime(WorkspaceAccount account, QueuedRequest request) {
        double missing = request.tokens() - account.available();
        double seconds = Math.max(0, missing) / account.workspace.rate();
        return Duration.ofMillis((long) Math.ceil(seconds * 1000));
    }
}
