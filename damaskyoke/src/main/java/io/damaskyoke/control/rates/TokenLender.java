package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.LongSupplier;

/** Answers token requests of other routers. */
final class TokenLender {
    /**
     * A transfer counts here for this many times its lifetime at the borrower, whose clock may run
     * slow.
     */
    private static final double EXPIRY_MARGIN = 1.1;

    private final Incarnation self;
    private final VmId vm;
    private final RateSettings settings;
    private final SpendingPermission permission;
    private final ShareBalancer balancer;

    TokenLender(
            Incarnation self,
            VmId vm,
            RateSettings settings,
            SpendingPermission permission,
            ShareBalancer balancer) {
        this.self = self;
        this.vm = vm;
        this.settings = settings;
        this.permission = permission;
        this.balancer = balancer;
    }

    /** Returns when a transfer made now stops counting at its lender. */
    static Instant transferExpiry(RateSettings settings, Instant now) {
        return now.plusNanos((long) (settings.transferLifetime().toNanos() * EXPIRY_MARGIN));
    }

    /**
     * Queues a token request of another router here if this router is the owner and the request may
     * wait. Returns false if it cannot be queued or is known already.
     *
     * <p>If the owner lent in parts on demand instead, the last tokens of a burst would end up at
     * several routers, too few at each for a request.
     */
    boolean tryQueue(
            WorkspaceAccount account,
            RateInput.TokensRequested request,
            LongSupplier sequence,
            Instant now) {
        String transferId = transferId(request);
        if (request.waitLimits().isEmpty()
                || !balancer.isOwner(account)
                || isKnown(account, transferId)) {
            return false;
        }
        QueuedRequest.Borrower borrower = new QueuedRequest.Borrower(request.from(), transferId);
        account.recordDemand(request.tokens(), now);
        account.queue.add(
                QueuedRequest.fromRouter(
                        borrower,
                        sequence.getAsLong(),
                        request.tokens(),
                        request.waitLimits().get(),
                        now));
        return true;
    }

    /**
     * Answers a token request that is not answered yet: with a note that it is queued, or with the
     * tokens that can be spared now.
     *
     * <p>A token request that arrives twice is answered once. A second transfer under the same id
     * would replace the first, and the lender would refill what the borrower still holds.
     */
    void answer(
            WorkspaceAccount account,
            RateInput.TokensRequested request,
            Instant now,
            List<RateAction> actions) {
        String transferId = transferId(request);
        if (account.queue.containsTransfer(transferId)) {
            actions.add(
                    new RateAction.SendTokenTransfer(
                            request.from(),
                            request.workspace(),
                            0,
                            transferId,
                            true,
                            Duration.ZERO));
            return;
        }
        boolean queueable = request.waitLimits().isPresent() && balancer.isOwner(account);
        if (request.tokens() == 0 || queueable || isKnown(account, transferId)) {
            return;
        }
        long tokens =
                permission.maySpend(account, self, now)
                        ? spareTokens(account, request.tokens(), now)
                        : 0;
        if (tokens < request.tokens()) {
            account.lastShortAt = now;
            // A request that waits cannot use a part of its tokens.
            tokens = request.waitLimits().isPresent() ? 0 : tokens;
        }
        if (tokens > 0) {
            account.lend(transferId, tokens, transferExpiry(settings, now));
        }
        actions.add(
                new RateAction.SendTokenTransfer(
                        request.from(), request.workspace(), tokens, transferId));
    }

    private String transferId(RateInput.TokensRequested request) {
        return request.requestId() + '/' + vm;
    }

    private static boolean isKnown(WorkspaceAccount account, String transferId) {
        return account.hasLent(transferId) || account.queue.containsTransfer(transferId);
    }

    private static long spareTokens(WorkspaceAccount account, long requested, Instant now) {
        if (!account.queue.isEmpty()) {
            return 0;
        }
        double ownNeed = account.demand(now) * BatchedBorrower.LOOK_AHEAD_SECONDS;
        double spare =
                account.spendableOwnTokens() - Math.min(ownNeed, account.spendableOwnTokens() / 2);
        return Math.max(0, (long) Math.min(requested, spare));
    }
}
