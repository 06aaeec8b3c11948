package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.LongSupplier;

/** Answers other routers that ask for tokens. */
final class Lender {
    /** A loan counts here for so many times as long as at its borrower, whose clock may be slow. */
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

    /** When a loan that is made now no longer counts here. */
    static Instant loanEnd(RateSettings settings, Instant now) {
        return now.plusNanos((long) (settings.loan().toNanos() * MARGIN));
    }

    /**
     * Puts what another router asks for into the line of this one, if this is the owner and the
     * other waits; false if that can't be, or it is there already.
     *
     * <p>Lent out in parts as they ask, the last tokens of a burst would lie at several routers,
     * too few at each for a request.
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
     * Answers one that isn't answered yet: it waits in line, or gets what is to spare now.
     *
     * <p>A request for tokens that comes twice is answered once. A second loan under the same name
     * would take the first one's place, and the lender would refill what the borrower still holds.
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
            // A request that waits can do nothing with a part of its tokens.
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
