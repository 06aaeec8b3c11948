package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Borrows tokens for one request at a time from the workspace's owner, and while the owner does not
 * answer from the other lenders in turn.
 *
 * <p>This serves workspaces whose requests need a tenth to a half of the burst, over half a dozen
 * routers and more. If the burst were divided evenly, nearly each request would need transfers from
 * several routers, and tokens would overflow at idle routers while requests are refused elsewhere.
 * So one router holds most of the tokens and queues all requests. The others hold a little each,
 * for requests that arrive while the owner is lost.
 *
 * <p>Each router is asked once for a request, and lends all missing tokens or none. If dozens of
 * routers kept asking for whatever there is, an owner that is only slow would become slower still,
 * and the tokens would be scattered in small amounts over all of them.
 */
final class PerRequestBorrower {
    private final Incarnation self;
    private final RateSettings settings;
    private final ShareBalancer keeper;

    PerRequestBorrower(Incarnation self, RateSettings settings, ShareBalancer keeper) {
        this.self = self;
        this.settings = settings;
        this.keeper = keeper;
    }

    /**
     * Requests the missing tokens from the owner, or from the other lenders if the owner does not
     * answer.
     */
    void requestTokens(
            WorkspaceAccount account,
            QueuedRequest request,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        Optional<VmId> owner = availableOwner(account, now);
        List<VmId> lenders = owner.map(List::of).orElseGet(() -> otherLenders(account));
        requestFromFirst(account, request, lenders, numbers, now, actions);
    }

    private Optional<VmId> availableOwner(WorkspaceAccount account, Instant now) {
        return keeper.otherOwner(account).filter(any -> account.asksOfOwner.mayAskOwner(now));
    }

    private List<VmId> otherLenders(WorkspaceAccount account) {
        Optional<VmId> owner = keeper.otherOwner(account);
        return keeper.lenders(account).stream()
                .filter(lender -> owner.filter(lender::equals).isEmpty())
                .toList();
    }

    private void requestFromFirst(
            WorkspaceAccount account,
            QueuedRequest request,
            List<VmId> lenders,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        if (lenders.isEmpty() || request.isExpired(now)) {
            account.held.add(request);
            return;
        }
        VmId lender = lenders.get(0);
        double aside = account.setAside(request.tokens());
        String ask = self.value() + '.' + numbers.getAsLong();
        boolean ofOwner = keeper.otherOwner(account).filter(lender::equals).isPresent();
        account.asksOfOwner.add(
                ask + '/' + lender,
                new PendingTokenRequests.PendingRequest(
                        request,
                        lender,
                        lenders.subList(1, lenders.size()),
                        ofOwner,
                        aside,
                        now,
                        false));
        actions.add(
                new RateAction.SendTokenRequest(
                        lender,
                        account.workspace.id(),
                        missingTokens(request, aside),
                        ask,
                        List.of(),
                        Optional.of(request.remainingWait(now))));
    }

    private static long missingTokens(QueuedRequest request, double aside) {
        return (long) Math.ceil(request.tokens() - aside);
    }

    /** Processes a token transfer. Returns false if it answers none of these token requests. */
    boolean handleTransfer(
            WorkspaceAccount account,
            RateInput.TransferReceived lent,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        PendingTokenRequests.PendingRequest ask = account.asksOfOwner.find(lent.transferId());
        if (ask == null) {
            return handleLateTransfer(account, lent, now);
        }
        if (lent.queued()) {
            account.asksOfOwner.recordQueued(lent.transferId(), now);
            return true;
        }
        account.asksOfOwner.recordAnswer(lent.transferId(), now);
        boolean valid = now.isBefore(ask.requestedAt().plus(settings.transferLifetime()));
        long ahead = lent.tokens() - missingTokens(ask.request(), ask.setAside());
        if (valid && ahead >= 0) {
            keepExtra(account, ask, lent.transferId(), ahead);
            actions.add(new RateAction.AdmitRequest(ask.request().id().orElseThrow()));
            return true;
        }
        account.bucket.refund(ask.setAside());
        if (lent.retryAfter().isZero()) {
            requestFromNext(account, ask, numbers, now, actions);
        } else {
            actions.add(
                    RateRefusals.rateExceeded(ask.request().id().orElseThrow(), lent.retryAfter()));
        }
        return true;
    }

    // The lender counts these tokens as lent until the transfer expires. If they were dropped here,
    // nobody would have them until then.
    private boolean handleLateTransfer(
            WorkspaceAccount account, RateInput.TransferReceived lent, Instant now) {
        PendingTokenRequests.PendingRequest ask =
                account.asksOfOwner.recordLateAnswer(lent.transferId(), now);
        if (ask == null) {
            return false;
        }
        Instant end = ask.requestedAt().plus(settings.transferLifetime());
        if (lent.tokens() > 0 && now.isBefore(end)) {
            account.borrow(ask.lender(), lent.transferId(), lent.tokens(), end);
        }
        return true;
    }

    private void requestFromNext(
            WorkspaceAccount account,
            PendingTokenRequests.PendingRequest ask,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        List<VmId> next = ask.lenderIsOwner() ? otherLenders(account) : ask.nextLenders();
        QueuedRequest request = ask.request();
        boolean waitsOn = !next.isEmpty() || keeper.awaitsOwners(now);
        QueuedRequest shortened =
                waitsOn ? request : request.withDeadline(now.plus(settings.queueTimeout()));
        requestFromFirst(account, shortened, next, numbers, now, actions);
    }

    // Tokens that the owner lent beyond the request are kept for the next requests.
    private void keepExtra(
            WorkspaceAccount account,
            PendingTokenRequests.PendingRequest ask,
            String loan,
            long ahead) {
        if (ahead == 0) {
            account.recordSpent(ask.lender(), loan);
        } else {
            account.borrow(
                    ask.lender(), loan, ahead, ask.requestedAt().plus(settings.transferLifetime()));
        }
    }

    /**
     * Asks the next lender for each request whose lender did not answer in time. Where all routers
     * have just started the owner is about to join, and requests wait for it as long as they may.
     */
    void handleTimeouts(
            WorkspaceAccount account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        for (PendingTokenRequests.PendingRequest ask :
                account.asksOfOwner.removeTimedOut(now, settings.transferLifetime())) {
            account.bucket.refund(ask.setAside());
            requestFromNext(account, ask, numbers, now, actions);
        }
    }

    /**
     * Asks the owner again for requests that were moved to the local queue, once the owner may be
     * asked.
     */
    void retryOwner(
            WorkspaceAccount account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        for (QueuedRequest request : account.held.inOrder(now)) {
            boolean own = request.id().isPresent() && !request.isExpired(now);
            if (own && availableOwner(account, now).isPresent()) {
                account.held.remove(request);
                requestTokens(account, request, numbers, now, actions);
            }
        }
    }
}
