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
final class Owners {
    private final Incarnation self;
    private final RateSettings settings;
    private final ShareKeeper keeper;

    Owners(Incarnation self, RateSettings settings, ShareKeeper keeper) {
        this.self = self;
        this.settings = settings;
        this.keeper = keeper;
    }

    /**
     * Requests the missing tokens from the owner, or from the other lenders if the owner does not
     * answer.
     */
    void ask(
            Account account,
            Held request,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        Optional<VmId> owner = owner(account, now);
        List<VmId> lenders = owner.map(List::of).orElseGet(() -> standbys(account));
        askFirst(account, request, lenders, numbers, now, actions);
    }

    private Optional<VmId> owner(Account account, Instant now) {
        return keeper.otherOwner(account).filter(any -> account.asksOfOwner.mayAskOwner(now));
    }

    private List<VmId> standbys(Account account) {
        Optional<VmId> owner = keeper.otherOwner(account);
        return keeper.lenders(account).stream()
                .filter(lender -> owner.filter(lender::equals).isEmpty())
                .toList();
    }

    private void askFirst(
            Account account,
            Held request,
            List<VmId> lenders,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        if (lenders.isEmpty() || request.over(now)) {
            account.held.add(request);
            return;
        }
        VmId lender = lenders.get(0);
        double aside = account.setAside(request.tokens());
        String ask = self.value() + '.' + numbers.getAsLong();
        boolean ofOwner = keeper.otherOwner(account).filter(lender::equals).isPresent();
        account.asksOfOwner.add(
                ask + '/' + lender,
                new OwnerAsks.Ask(
                        request,
                        lender,
                        lenders.subList(1, lenders.size()),
                        ofOwner,
                        aside,
                        now,
                        false));
        actions.add(
                new RateAction.Ask(
                        lender,
                        account.workspace.id(),
                        lacking(request, aside),
                        ask,
                        List.of(),
                        Optional.of(request.waitFrom(now))));
    }

    private static long lacking(Held request, double aside) {
        return (long) Math.ceil(request.tokens() - aside);
    }

    /** Processes a token transfer. Returns false if it answers none of these token requests. */
    boolean answered(
            Account account,
            RateInput.Lent lent,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        OwnerAsks.Ask ask = account.asksOfOwner.find(lent.loan());
        if (ask == null) {
            return late(account, lent, now);
        }
        if (lent.queued()) {
            account.asksOfOwner.queued(lent.loan(), now);
            return true;
        }
        account.asksOfOwner.answered(lent.loan(), now);
        boolean valid = now.isBefore(ask.askedAt().plus(settings.loan()));
        long ahead = lent.tokens() - lacking(ask.request(), ask.aside());
        if (valid && ahead >= 0) {
            keep(account, ask, lent.loan(), ahead);
            actions.add(new RateAction.Admit(ask.request().id().orElseThrow()));
            return true;
        }
        account.bucket.giveBack(ask.aside());
        if (lent.comeBack().isZero()) {
            askNext(account, ask, numbers, now, actions);
        } else {
            actions.add(RateRefusals.usedUp(ask.request().id().orElseThrow(), lent.comeBack()));
        }
        return true;
    }

    // The lender counts these tokens as lent until the transfer expires. If they were dropped here,
    // nobody would have them until then.
    private boolean late(Account account, RateInput.Lent lent, Instant now) {
        OwnerAsks.Ask ask = account.asksOfOwner.late(lent.loan(), now);
        if (ask == null) {
            return false;
        }
        Instant end = ask.askedAt().plus(settings.loan());
        if (lent.tokens() > 0 && now.isBefore(end)) {
            account.borrow(ask.lender(), lent.loan(), lent.tokens(), end);
        }
        return true;
    }

    private void askNext(
            Account account,
            OwnerAsks.Ask ask,
            LongSupplier numbers,
            Instant now,
            List<RateAction> actions) {
        List<VmId> next = ask.ofOwner() ? standbys(account) : ask.next();
        Held request = ask.request();
        boolean waitsOn = !next.isEmpty() || keeper.awaitsOwners(now);
        Held shortened = waitsOn ? request : request.until(now.plus(settings.hold()));
        askFirst(account, shortened, next, numbers, now, actions);
    }

    // Tokens that the owner lent beyond the request are kept for the next requests.
    private void keep(Account account, OwnerAsks.Ask ask, String loan, long ahead) {
        if (ahead == 0) {
            account.spentAtOnce(ask.lender(), loan);
        } else {
            account.borrow(ask.lender(), loan, ahead, ask.askedAt().plus(settings.loan()));
        }
    }

    /**
     * Asks the next lender for each request whose lender did not answer in time. Where all routers
     * have just started the owner is about to join, and requests wait for it as long as they may.
     */
    void check(Account account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        for (OwnerAsks.Ask ask : account.asksOfOwner.givenUp(now, settings.loan())) {
            account.bucket.giveBack(ask.aside());
            askNext(account, ask, numbers, now, actions);
        }
    }

    /**
     * Asks the owner again for requests that were moved to the local queue, once the owner may be
     * asked.
     */
    void askAgain(Account account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        for (Held request : account.held.inOrder(now)) {
            boolean own = request.id().isPresent() && !request.over(now);
            if (own && owner(account, now).isPresent()) {
                account.held.remove(request);
                ask(account, request, numbers, now, actions);
            }
        }
    }
}
