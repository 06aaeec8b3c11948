package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.LongSupplier;

/** Answers token requests of other routers. */
final class Lender {
    /**
     * A transfer counts here for this many times its lifetime at the borrower, whose clock may run
     * slow.
     */
    private static final double MARGIN = 1.1;

    private final Incarnation self;
    private final VmId vm;
    private final RateSettings settings;
    private final SpendingRight right;
    private final ShareKeeper keeper;

    Lender(
            Incarnation self,
            VmId vm,
            RateSettings settings,
            SpendingRight right,
            ShareKeeper keeper) {
        this.self = self;
        this.vm = vm;
        this.settings = settings;
        this.right = right;
        this.keeper = keeper;
    }

    /** Returns when a transfer made now stops counting at its lender. */
    static Instant loanEnd(RateSettings settings, Instant now) {
        return now.plusNanos((long) (settings.loan().toNanos() * MARGIN));
    }

    /**
     * Queues a token request of another router here if this router is the owner and the request may
     * wait. Returns false if it cannot be queued or is known already.
     *
     * <p>If the owner lent in parts on demand instead, the last tokens of a burst would end up at
     * several routers, too few at each for a request.
     */
    boolean queues(Account account, RateInput.Asked asked, LongSupplier numbers, Instant now) {
        String loan = loan(asked);
        if (asked.within().isEmpty() || !keeper.owns(account) || known(account, loan)) {
            return false;
        }
        Held.Borrower borrower = new Held.Borrower(asked.from(), loan);
        account.wanted(asked.tokens(), now);
        account.held.add(
                Held.asked(
                        borrower, numbers.getAsLong(), asked.tokens(), asked.within().get(), now));
        return true;
    }

    /**
     * Answers a token request that is not answered yet: with a note that it is queued, or with the
     * tokens that can be spared now.
     *
     * <p>A token request that arrives twice is answered once. A second transfer under the same id
     * would replace the first, and the lender would refill what the borrower still holds.
     */
    void answer(Account account, RateInput.Asked asked, Instant now, List<RateAction> actions) {
        String loan = loan(asked);
        if (account.held.holds(loan)) {
            actions.add(
                    new RateAction.Lend(
                            asked.from(), asked.workspace(), 0, loan, true, Duration.ZERO));
            return;
        }
        boolean inLine = asked.within().isPresent() && keeper.owns(account);
        if (asked.tokens() == 0 || inLine || known(account, loan)) {
            return;
        }
        long tokens = right.usable(account, self, now) ? spare(account, asked.tokens(), now) : 0;
        if (tokens < asked.tokens()) {
            account.shortAt = now;
            // A request that waits cannot use a part of its tokens.
            tokens = asked.within().isPresent() ? 0 : tokens;
        }
        if (tokens > 0) {
            account.lend(loan, tokens, loanEnd(settings, now));
        }
        actions.add(new RateAction.Lend(asked.from(), asked.workspace(), tokens, loan));
    }

    private String loan(RateInput.Asked asked) {
        return asked.ask() + '/' + vm;
    }

    private static boolean known(Account account, String loan) {
        return account.hasLent(loan) || account.held.holds(loan);
    }

    private static long spare(Account account, long wanted, Instant now) {
        if (!account.held.isEmpty()) {
            return 0;
        }
        double own = account.demand(now) * Borrowing.LOOK_AHEAD_SECONDS;
        double spare = account.own() - Math.min(own, account.own() / 2);
        return Math.max(0, (long) Math.min(wanted, spare));
    }
}
