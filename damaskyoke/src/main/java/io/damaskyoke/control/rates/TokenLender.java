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
    private static final double MARGIN = 1.1;

    private final Incarnation self;
    private final VmId vm;
    private final RateSettings settings;
    private final SpendingPermission right;
    private final ShareBalancer keeper;

    TokenLender(
            Incarnation self,
            VmId vm,
            RateSettings settings,
            SpendingPermission right,
            ShareBalancer keeper) {
        this.self = self;
        this.vm = vm;
        this.settings = settings;
        this.right = right;
        this.keeper = keeper;
    }

    /** Returns when a transfer made now stops counting at its lender. */
    static Instant transferExpiry(RateSettings settings, Instant now) {
        return now.plusNanos((long) (settings.transferLifetime().toNanos() * MARGIN));
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
            RateInput.TokensRequested asked,
            LongSupplier numbers,
            Instant now) {
        String loan = transferId(asked);
        if (asked.waitLimits().isEmpty() || !keeper.isOwner(account) || isKnown(account, loan)) {
            return false;
        }
        QueuedRequest.Borrower borrower = new QueuedRequest.Borrower(asked.from(), loan);
        account.recordDemand(asked.tokens(), now);
        account.held.add(
                QueuedRequest.fromRouter(
                        borrower,
                        numbers.getAsLong(),
                        asked.tokens(),
                        asked.waitLimits().get(),
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
            RateInput.TokensRequested asked,
            Instant now,
            List<RateAction> actions) {
        String loan = transferId(asked);
        if (account.held.containsTransfer(loan)) {
            actions.add(
                    new RateAction.SendTokenTransfer(
                            asked.from(), asked.workspace(), 0, loan, true, Duration.ZERO));
            return;
        }
        boolean inLine = asked.waitLimits().isPresent() && keeper.isOwner(account);
        if (asked.tokens() == 0 || inLine || isKnown(account, loan)) {
            return;
        }
        long tokens =
                right.maySpend(account, self, now) ? spareTokens(account, asked.tokens(), now) : 0;
        if (tokens < asked.tokens()) {
            account.shortAt = now;
            // A request that waits cannot use a part of its tokens.
            tokens = asked.waitLimits().isPresent() ? 0 : tokens;
        }
        if (tokens > 0) {
            account.lend(loan, tokens, transferExpiry(settings, now));
        }
        actions.add(
                new RateAction.SendTokenTransfer(asked.from(), asked.workspace(), tokens, loan));
    }

    private String transferId(RateInput.TokensRequested asked) {
        return asked.requestId() + '/' + vm;
    }

    private static boolean isKnown(WorkspaceAccount account, String loan) {
        return account.hasLent(loan) || account.held.containsTransfer(loan);
    }

    private static long spareTokens(WorkspaceAccount account, long wanted, Instant now) {
        if (!account.held.isEmpty()) {
            return 0;
        }
        double own = account.demand(now) * BatchedBorrower.LOOK_AHEAD_SECONDS;
        double spare =
                account.spendableOwnTokens() - Math.min(own, account.spendableOwnTokens() / 2);
        return Math.max(0, (long) Math.min(wanted, spare));
    }
}
