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
    private static final double PLENTY = 0.7;

    /** Largest fraction of the owner's spendable tokens that one router may get ahead of need. */
    private static final double AHEAD_PART = 0.25;

    /** A transfer lasts two seconds, and one router rarely gets more requests in that time. */
    private static final int REQUESTS_AHEAD = 3;

    private final Incarnation self;
    private final RateSettings settings;
    private final SpendingPermission right;
    private final ShareBalancer keeper;
    private final BatchedBorrower borrowing;

    QueueAdmission(
            Incarnation self,
            RateSettings settings,
            SpendingPermission right,
            ShareBalancer keeper,
            BatchedBorrower borrowing) {
        this.self = self;
        this.settings = settings;
        this.right = right;
        this.keeper = keeper;
        this.borrowing = borrowing;
    }

    /** Admits queued requests in order for as long as there are tokens for the next one. */
    void admit(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        if (!right.maySpend(account, self, now)) {
            return;
        }
        QueuedRequest next = account.held.first(now);
        while (next != null && tryServe(account, next, now, actions)) {
            account.held.remove(next);
            next = account.held.first(now);
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
        QueuedRequest.Borrower to = request.borrower().get();
        long tokens = request.tokens() + extraTokens(account, request);
        account.lendIncludingBorrowed(
                to.transferId(), tokens, TokenLender.transferExpiry(settings, now));
        actions.add(
                new RateAction.SendTokenTransfer(
                        to.vm(), account.workspace.id(), tokens, to.transferId()));
        return true;
    }

    // While tokens are plentiful, the borrower also gets tokens for its next requests, which then
    // need no token request. Tokens that it does not spend in time are lost, which costs nothing as
    // long as they would have overflowed here.
    private static long extraTokens(WorkspaceAccount account, QueuedRequest request) {
        boolean plenty = account.bucket.tokens() >= account.bucket.cap() * PLENTY;
        double left = account.available() - request.tokens();
        if (!plenty || left <= 0 || account.held.size() > 1) {
            return 0;
        }
        double few = (double) request.tokens() * REQUESTS_AHEAD;
        return (long) Math.min(few, left * AHEAD_PART);
    }

    /** Refuses the requests that have timed out or cannot get tokens. */
    void refuseUnservable(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        if (keeper.isOwner(account) && right.maySpend(account, self, now)) {
            refuseUnservableInTime(account, now, actions);
            return;
        }
        boolean noneToAsk = borrowing.hasNoLenders(account);
        boolean hopeless =
                right.maySpend(account, self, now)
                        && (noneToAsk || borrowing.allLendersEmpty(account))
                        && !accruesInTime(account, now)
                        && !(keeper.isJoining(now) && !keeper.hasShare(account));
        for (QueuedRequest request : account.held.inOrder(now)) {
            boolean askedFor = noneToAsk || request.arrivalNumber() <= account.askedUpTo;
            boolean due = !now.isBefore(request.deadline()) || hopeless && askedFor;
            if (due && account.held.remove(request)) {
                refuseQueued(account, request, now, actions);
                admit(account, now, actions);
            }
        }
    }

    private void refuseQueued(
            WorkspaceAccount account,
            QueuedRequest request,
            Instant now,
            List<RateAction> actions) {
        if (right.maySpend(account, self, now)) {
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
        if (borrowing.awaitsAnswers(account, now)) {
            return;
        }
        double rate = account.bucket.rate();
        double needed = -account.available();
        for (QueuedRequest request : account.held.inOrder(now)) {
            double seconds = Math.max(0, needed + request.tokens()) / rate;
            Duration wait = Duration.ofMillis((long) Math.ceil(seconds * 1000));
            if (now.plus(wait).isAfter(request.deadline())) {
                account.held.remove(request);
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
        QueuedRequest first = account.held.first(now);
        if (first == null) {
            return false;
        }
        double missing = first.tokens() - account.available();
        double seconds = Duration.between(now, first.deadline()).toMillis() / 1000.0;
        double part = keeper.part(account) / (double) ShareTable.WHOLE;
        return missing <= part * account.workspace.rate() * seconds;
    }

    private static void refuseRateExceeded(
            WorkspaceAccount account,
            QueuedRequest request,
            Duration wait,
            List<RateAction> actions) {
        request.borrower()
                .ifPresent(
                        by ->
                                actions.add(
                                        new RateAction.SendTokenTransfer(
                                                by.vm(),
                                                account.workspace.id(),
                                                0,
                                                by.transferId(),
                                                false,
                                                wait)));
        request.id().ifPresent(id -> actions.add(RateRefusals.rateExceeded(id, wait)));
    }

    private static void refuseUnconfirmed(
            WorkspaceAccount account, QueuedRequest request, List<RateAction> actions) {
        request.borrower()
                .ifPresent(
                        by ->
                                actions.add(
                                        new RateAction.SendTokenTransfer(
                                                by.vm(),
                                                account.workspace.id(),
                                                0,
                                                by.transferId())));
        request.id().ifPresent(id -> actions.add(RateRefusals.unconfirmed(id)));
    }

    private static Duration accrualTime(WorkspaceAccount account, QueuedRequest request) {
        double missing = request.tokens() - account.available();
        double seconds = Math.max(0, missing) / account.workspace.rate();
        return Duration.ofMillis((long) Math.ceil(seconds * 1000));
    }
}
