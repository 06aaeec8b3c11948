package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Lets in and refuses the requests that wait for tokens at this router, in their order. */
final class FairQueue {
    /** A bucket as full as this runs over before long. */
    private static final double PLENTY = 0.7;

    /** Of what the owner may spend, what one router may get ahead. */
    private static final double AHEAD_PART = 0.25;

    /** A loan lasts two seconds, and hardly more requests come to one router in that time. */
    private static final int REQUESTS_AHEAD = 3;

    private final Incarnation self;
    private final RateSettings settings;
    private final SpendingRight right;
    private final ShareKeeper keeper;
    private final Borrowing borrowing;

    FairQueue(
            Incarnation self,
            RateSettings settings,
            SpendingRight right,
            ShareKeeper keeper,
            Borrowing borrowing) {
        this.self = self;
        this.settings = settings;
        this.right = right;
        this.keeper = keeper;
        this.borrowing = borrowing;
    }

    /** Lets in those who have their tokens now, in their order. */
    void admit(Account account, Instant now, List<RateAction> actions) {
        if (!right.usable(account, self, now)) {
            return;
        }
        Held next = account.held.first(now);
        while (next != null && serve(account, next, now, actions)) {
            account.held.remove(next);
            next = account.held.first(now);
        }
    }

    private boolean serve(Account account, Held request, Instant now, List<RateAction> actions) {
        if (request.borrower().isEmpty()) {
            boolean taken = account.take(request.tokens());
            if (taken) {
                actions.add(new RateAction.Admit(request.id().orElseThrow()));
            }
            return taken;
        }
        if (account.available() < request.tokens()) {
            return false;
        }
        Held.Borrower to = request.borrower().get();
        long tokens = request.tokens() + ahead(account, request);
        account.lendOn(to.loan(), tokens, Lender.loanEnd(settings, now));
        actions.add(new RateAction.Lend(to.vm(), account.workspace.id(), tokens, to.loan()));
        return true;
    }

    // With plenty here, the next requests of the same router need not ask. What it doesn't spend in
    // time is lost, which costs nothing as long as what comes in here would run over.
    private static long ahead(Account account, Held request) {
        boolean plenty = account.bucket.tokens() >= account.bucket.cap() * PLENTY;
        double left = account.available() - request.tokens();
        if (!plenty || left <= 0 || account.held.size() > 1) {
            return 0;
        }
        double few = (double) request.tokens() * REQUESTS_AHEAD;
        return (long) Math.min(few, left * AHEAD_PART);
    }

    /** Refuses those who wait in vain. */
    void refuse(Account account, Instant now, List<RateAction> actions) {
        if (keeper.owns(account) && right.usable(account, self, now)) {
            refuseLate(account, now, actions);
            return;
        }
        boolean noneToAsk = borrowing.noneToAsk(account);
        boolean hopeless =
                right.usable(account, self, now)
                        && (noneToAsk || borrowing.nothingCame(account))
                        && !filling(account, now)
                        && !(keeper.joining(now) && !keeper.joined(account));
        for (Held request : account.held.inOrder(now)) {
            boolean askedFor = noneToAsk || request.number() <= account.askedUpTo;
            boolean due = !now.isBefore(request.until()) || hopeless && askedFor;
            if (due && account.held.remove(request)) {
                dueRefused(account, request, now, actions);
                admit(account, now, actions);
            }
        }
    }

    private void dueRefused(Account account, Held request, Instant now, List<RateAction> actions) {
        if (right.usable(account, self, now)) {
            usedUp(account, request, missingTime(account, request), actions);
        } else {
            unconfirmed(account, request, actions);
        }
    }

    // Its own rate and what is here tell an owner when each request can have its tokens. Who can't
    // have them in time is told so now, with when to come back, and not at the end of its wait.
    private void refuseLate(Account account, Instant now, List<RateAction> actions) {
        if (borrowing.awaits(account, now)) {
            return;
        }
        double rate = account.bucket.rate();
        double needed = -account.available();
        for (Held request : account.held.inOrder(now)) {
            double seconds = Math.max(0, needed + request.tokens()) / rate;
            Duration wait = Duration.ofMillis((long) Math.ceil(seconds * 1000));
            if (now.plus(wait).isAfter(request.until())) {
                account.held.remove(request);
                usedUp(account, request, wait, actions);
            } else {
                needed += request.tokens();
            }
        }
    }

    // What fills up here within the holding time needs no loan. A router that has just started
    // holds no tokens yet; without this it would refuse for as long as it takes to fill for one
    // request, though callers are well within their rate.
    private boolean filling(Account account, Instant now) {
        Held first = account.held.first(now);
        if (first == null) {
            return false;
        }
        double missing = first.tokens() - account.available();
        double seconds = Duration.between(now, first.until()).toMillis() / 1000.0;
        double part = keeper.part(account) / (double) ShareTable.WHOLE;
        return missing <= part * account.workspace.rate() * seconds;
    }

    private static void usedUp(
            Account account, Held request, Duration wait, List<RateAction> actions) {
        request.borrower()
                .ifPresent(
                        by ->
                                actions.add(
                                        new RateAction.Lend(
                                                by.vm(),
                                                account.workspace.id(),
                                                0,
                                                by.loan(),
                                                false,
                                                wait)));
        request.id().ifPresent(id -> actions.add(RateRefusals.usedUp(id, wait)));
    }

    private static void unconfirmed(Account account, Held request, List<RateAction> actions) {
        request.borrower()
                .ifPresent(
                        by ->
                                actions.add(
                                        new RateAction.Lend(
                                                by.vm(), account.workspace.id(), 0, by.loan())));
        request.id().ifPresent(id -> actions.add(RateRefusals.unconfirmed(id)));
    }

    private static Duration missingTime(Account account, Held request) {
        double missing = request.tokens() - account.available();
        double seconds = Math.max(0, missing) / account.workspace.rate();
        return Duration.ofMillis((long) Math.ceil(seconds * 1000));
    }
}
