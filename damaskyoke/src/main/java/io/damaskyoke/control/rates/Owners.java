package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Asks the router that has most of a workspace's tokens, a request at a time.
 *
 * <p>The pattern: requests of a tenth to a half of a workspace's burst, over half a dozen routers
 * and more. Divided among them, nearly each request would need the loans of several routers, and
 * tokens run over where nobody asks while requests are refused elsewhere. So one router has most of
 * it, and all wait in its line. The others have a little each, for what they are asked while the
 * owner is lost.
 */
final class Owners {
    private final Incarnation self;
    private final RateSettings settings;
    private final ShareKeeper keeper;

    Owners(Incarnation self, RateSettings settings, ShareKeeper keeper) {
        this.self = self;
        this.settings = settings;
        this.keeper = keeper;
    }

    /** True if another router has most of the workspace, and has answered of late. */
    boolean asks(Account account, Instant now) {
        return keeper.otherOwner(account).isPresent() && !account.asksOfOwner.silent(now);
    }

    /** Asks the owner for what the request lacks. */
    void ask(Account account, Held request, long number, Instant now, List<RateAction> actions) {
        VmId owner = keeper.otherOwner(account).orElseThrow();
        double aside = account.setAside(request.tokens());
        String ask = self.value() + '.' + number;
        account.asksOfOwner.add(
                ask + '/' + owner, new OwnerAsks.Ask(request, owner, aside, now, false));
        Wait wait = request.waitFrom(now);
        actions.add(
                new RateAction.Ask(
                        owner,
                        account.workspace.id(),
                        lacking(request, aside),
                        ask,
                        List.of(),
                        Optional.of(wait)));
    }

    private static long lacking(Held request, double aside) {
        return (long) Math.ceil(request.tokens() - aside);
    }

    /** Takes in an owner's answer; false if it answers none of these asks. */
    boolean answered(Account account, RateInput.Lent lent, Instant now, List<RateAction> actions) {
        OwnerAsks.Ask ask = account.asksOfOwner.find(lent.loan());
        if (ask == null) {
            return false;
        }
        if (lent.queued()) {
            account.asksOfOwner.queued(lent.loan(), now);
            return true;
        }
        account.asksOfOwner.answered(lent.loan(), now);
        Held request = ask.request();
        boolean valid = now.isBefore(ask.askedAt().plus(settings.loan()));
        long ahead = lent.tokens() - lacking(request, ask.aside());
        if (valid && ahead >= 0) {
            keep(account, ask, lent.loan(), ahead);
            actions.add(new RateAction.Admit(request.id().orElseThrow()));
            return true;
        }
        account.bucket.giveBack(ask.aside());
        if (lent.comeBack().isZero()) {
            // It owns no longer, and has lent what it had to spare.
            if (valid && lent.tokens() > 0) {
                Instant end = ask.askedAt().plus(settings.loan());
                account.borrow(ask.owner(), lent.loan(), lent.tokens(), end);
            }
            account.held.add(request.until(now.plus(settings.hold())));
        } else {
            actions.add(RateRefusals.usedUp(request.id().orElseThrow(), lent.comeBack()));
        }
        return true;
    }

    // What the owner lent beyond the request is for the next ones.
    private void keep(Account account, OwnerAsks.Ask ask, String loan, long ahead) {
        if (ahead == 0) {
            account.spentAtOnce(ask.owner(), loan);
        } else {
            account.borrow(ask.owner(), loan, ahead, ask.askedAt().plus(settings.loan()));
        }
    }

    /**
     * Hands over those to which the owner says nothing: they ask all others for a while. Where all
     * routers have just started the owner is about to come, and they wait for it as long as they
     * may.
     */
    void check(Account account, boolean started, Instant now) {
        for (OwnerAsks.Ask ask : account.asksOfOwner.givenUp(now)) {
            account.bucket.giveBack(ask.aside());
            Instant end = started ? ask.request().until() : now.plus(settings.hold());
            account.held.add(ask.request().until(end));
        }
    }

    /** Asks the owner again for those that were handed over, once it may be there. */
    void askAgain(Account account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        for (Held request : account.held.inOrder(now)) {
            if (request.id().isPresent() && asks(account, now)) {
                account.held.remove(request);
                ask(account, request, numbers.getAsLong(), now, actions);
            }
        }
    }
}
