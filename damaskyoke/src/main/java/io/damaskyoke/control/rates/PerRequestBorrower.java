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
    private final ShareBalancer balancer;

    PerRequestBorrower(Incarnation self, RateSettings settings, ShareBalancer balancer) {
        this.self = self;
        this.settings = settings;
        this.balancer = balancer;
    }

    /**
     * Requests the missing tokens from the owner, or from the other lenders if the owner does not
     * answer.
     */
    void requestTokens(
            WorkspaceAccount account,
            QueuedRequest request,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        Optional<VmId> owner = availableOwner(account, now);
        List<VmId> lenders = owner.map(List::of).orElseGet(() -> otherLenders(account));
        requestFromFirst(account, request, lenders, sequence, now, actions);
    }

    private Optional<VmId> availableOwner(WorkspaceAccount account, Instant now) {
        return balancer.otherOwner(account)
                .filter(other -> account.pendingRequests.mayAskOwner(now));
    }

    private List<VmId> otherLenders(WorkspaceAccount account) {
        Optional<VmId> owner = balancer.otherOwner(account);
        return balancer.lenders(account).stream()
                .filter(lender -> owner.filter(lender::equals).isEmpty())
                .toList();
    }

    private void requestFromFirst(
            WorkspaceAccount account,
            QueuedRequest request,
            List<VmId> lenders,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        if (lenders.isEmpty() || request.isExpired(now)) {
            account.queue.add(request);
            return;
        }
        VmId lender = lenders.get(0);
        double setAside = account.setAside(request.tokens());
        String requestId = self.value() + '.' + sequence.getAsLong();
        boolean lenderIsOwner = balancer.otherOwner(account).filter(lender::equals).isPresent();
        account.pendingRequests.add(
                requestId + '/' + lender,
                new PendingTokenRequests.PendingRequest(
                        request,
                        lender,
                        lenders.subList(1, lenders.size()),
                        lenderIsOwner,
                        setAside,
                        now,
                        false));
        actions.add(
                new RateAction.SendTokenRequest(
                        lender,
                        account.workspace.id(),
                        missingTokens(request, setAside),
                        requestId,
                        List.of(),
                        Optional.of(request.remainingWait(now))));
    }

    private static long missingTokens(QueuedRequest request, double setAside) {
        return (long) Math.ceil(request.tokens() - setAside);
    }

    /** Processes a token transfer. Returns false if it answers none of these token requests. */
    boolean handleTransfer(
            WorkspaceAccount account,
            RateInput.TransferReceived transfer,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        PendingTokenRequests.PendingRequest pending =
                account.pendingRequests.find(transfer.transferId());
        if (pending == null) {
            return handleLateTransfer(account, transfer, now);
        }
        if (transfer.queued()) {
            account.pendingRequests.recordQueued(transfer.transferId(), now);
            return true;
        }
        account.pendingRequests.recordAnswer(transfer.transferId(), now);
        boolean valid = now.isBefore(pending.requestedAt().plus(settings.transferLifetime()));
        long extra = transfer.tokens() - missingTokens(pending.request(), pending.setAside());
        if (valid && extra >= 0) {
            keepExtra(account, pending, transfer.transferId(), extra);
            actions.add(new RateAction.AdmitRequest(pending.request().id().orElseThrow()));
            return true;
        }
        account.bucket.refund(pending.setAside());
        if (transfer.retryAfter().isZero()) {
            requestFromNext(account, pending, sequence, now, actions);
        } else {
            actions.add(
                    RateRefusals.rateExceeded(
                            pending.request().id().orElseThrow(), transfer.retryAfter()));
        }
        return true;
    }

    // The lender counts these tokens as lent until the transfer expires. If they were dropped here,
    // nobody would have them until then.
    private boolean handleLateTransfer(
            WorkspaceAccount account, RateInput.TransferReceived transfer, Instant now) {
        PendingTokenRequests.PendingRequest pending =
                account.pendingRequests.recordLateAnswer(transfer.transferId(), now);
        if (pending == null) {
            return false;
        }
        Instant expiry = pending.requestedAt().plus(settings.transferLifetime());
        if (transfer.tokens() > 0 && now.isBefore(expiry)) {
            account.borrow(pending.lender(), transfer.transferId(), transfer.tokens(), expiry);
        }
        return true;
    }

    private void requestFromNext(
            WorkspaceAccount account,
            PendingTokenRequests.PendingRequest pending,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        List<VmId> next = pending.lenderIsOwner() ? otherLenders(account) : pending.nextLenders();
        QueuedRequest request = pending.request();
        boolean keepsDeadline = !next.isEmpty() || balancer.awaitsOwners(now);
        QueuedRequest shortened =
                keepsDeadline ? request : request.withDeadline(now.plus(settings.queueTimeout()));
        requestFromFirst(account, shortened, next, sequence, now, actions);
    }

    // Tokens that the owner lent beyond the request are kept for the next requests.
    private void keepExtra(
            WorkspaceAccount account,
            PendingTokenRequests.PendingRequest pending,
            String transferId,
            long extra) {
        if (extra == 0) {
            account.recordSpent(pending.lender(), transferId);
        } else {
            account.borrow(
                    pending.lender(),
                    transferId,
                    extra,
                    pending.requestedAt().plus(settings.transferLifetime()));
        }
    }

    /**
     * Asks the next lender for each request whose lender did not answer in time. Where all routers
     * have just started the owner is about to join, and requests wait for it as long as they may.
     */
    void handleTimeouts(
            WorkspaceAccount account,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        for (PendingTokenRequests.PendingRequest pending :
                account.pendingRequests.removeTimedOut(now, settings.transferLifetime())) {
            account.bucket.refund(pending.setAside());
            requestFromNext(account, pending, sequence, now, actions);
        }
    }

    /**
     * Asks the owner again for requests that were moved to the local queue, once the owner may be
     * asked.
     */
    void retryOwner(
            WorkspaceAccount account,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        for (QueuedRequest request : account.queue.inOrder(now)) {
            boolean own = request.id().isPresent() && !request.isExpired(now);
            if (own && availableOwner(account, now).isPresent()) {
                account.queue.remove(request);
                requestTokens(account, request, sequence, now, actions);
            }
        }
    }
}
