package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Borrows tokens for all queued requests of a workspace together: chooses the lenders and the
 * number of tokens.
 *
 * <p>A router with a share borrows what its share lacks now and then, and asks all lenders. A
 * router without a share borrows for every request: it asks the same lender as long as that one
 * lends, and all lenders only after that. If it asked all at once, each would set aside the tokens
 * that only one of them has to lend.
 */
final class Borrowing {
    /** Tokens for the expected demand of this time are requested along with the present need. */
    static final double LOOK_AHEAD_SECONDS = 0.25;

    /** A lender with a smaller part than this, in millionths, is not asked first. */
    private static final int LARGE_PART = ShareTable.WHOLE / 8;

    private static final Duration ASK_GAP = Duration.ofMillis(20);
    private static final Duration OWNER_ASK_GAP = Duration.ofMillis(400);
    private static final int MOST_ASKED = 8;

    /**
     * Time after which an unanswered lender no longer holds up further token requests. A transfer
     * takes a few milliseconds. The queue timeout is a few times this value, so that time remains
     * to ask the other lenders.
     */
    private static final Duration LENDER_PATIENCE = Duration.ofMillis(40);

    private final Incarnation self;
    private final RateSettings settings;
    private final ShareKeeper keeper;

    Borrowing(Incarnation self, RateSettings settings, ShareKeeper keeper) {
        this.self = self;
        this.settings = settings;
        this.keeper = keeper;
    }

    /**
     * Requests the tokens that queued requests lack, unless answers are pending or the last token
     * request is very recent.
     */
    void ask(Account account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        boolean soon = now.isBefore(account.askedAt.plus(gap(account)));
        boolean awaited = !account.unanswered.isEmpty() && !stale(account, now);
        if (!account.held.isEmpty() && !soon && !awaited) {
            askNext(account, numbers, now, actions);
        }
    }

    // An owner waits for its own rate, and the shares of the others are small. Until they have
    // refilled enough for one request, asking them again brings nothing. Their buckets take longer
    // than this to overflow.
    private Duration gap(Account account) {
        return keeper.owns(account) ? OWNER_ASK_GAP : ASK_GAP;
    }

    /** Asks the other lenders at once when the single lender that was asked had too few tokens. */
    void askOthers(Account account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        boolean had = account.askedOne && account.unanswered.isEmpty();
        if (had && !account.held.isEmpty()) {
            askNext(account, numbers, now, actions);
        }
    }

    private void askNext(
            Account account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        boolean fresh = account.held.first(now).number() > account.askedUpTo;
        List<VmId> others = nextLenders(account, fresh);
        long tokens = lacking(account, now);
        if (others.isEmpty() || tokens <= 0) {
            return;
        }
        note(account, others, fresh, numbers.getAsLong(), now);
        boolean split = account.asks == 2 && borrows(account);
        for (VmId other : others) {
            long part = split ? portion(account, other, tokens) : tokens;
            actions.add(
                    new RateAction.Ask(
                            other, account.workspace.id(), part, account.ask, List.of()));
        }
    }

    // After the single lender had too few tokens, the first round asks each lender for its
    // proportional part. Whatever one of them lacks, the next round asks for in full from each; it
    // is little by then.
    private long portion(Account account, VmId lender, long tokens) {
        long all = 0;
        long own = 0;
        for (ShareTable.Share share : account.row.table().shares().values()) {
            all += share.part();
            own += share.vm().equals(lender) ? share.part() : 0;
        }
        return Math.max(1, (tokens * own + all - 1) / Math.max(1, all));
    }

    private void note(Account account, List<VmId> asked, boolean fresh, long number, Instant now) {
        boolean dry = !fresh && account.brought == 0;
        account.ask = self.value() + '.' + number;
        account.askedAt = now;
        account.askedUpTo = number;
        account.asks = fresh ? 1 : account.asks + 1;
        account.askedOne = fresh && borrows(account);
        account.dryAsks = dry ? account.dryAsks + asked.size() : asked.size();
        account.brought = 0;
        account.unanswered.clear();
        account.unanswered.addAll(asked);
    }

    /** Returns whether answers to the last round may still arrive. */
    boolean awaits(Account account, Instant now) {
        return !account.unanswered.isEmpty() && now.isBefore(account.askedAt.plus(LENDER_PATIENCE));
    }

    private long lacking(Account account, Instant now) {
        double need = account.held.tokens() + ahead(account, now) - account.available();
        return (long) Math.ceil(Math.min(need, account.workspace.burst()));
    }

    // Tokens borrowed ahead of need lie idle for up to two seconds. With two dozen routers that
    // borrow for each request, one request's worth at each of them would be the whole burst.
    private double ahead(Account account, Instant now) {
        boolean exact = keeper.owned(account) || borrows(account);
        return exact ? 0 : account.demand(now) * LOOK_AHEAD_SECONDS;
    }

    private boolean stale(Account account, Instant now) {
        Duration patience = borrows(account) ? LENDER_PATIENCE : settings.hold();
        return now.isAfter(account.askedAt.plus(patience));
    }

    private boolean borrows(Account account) {
        return account.row != null && !keeper.joined(account);
    }

    /** Reports to lenders which of their transfers are spent or expired. */
    void tellSpent(Account account, List<RateAction> actions) {
        account.spent.forEach(
                (lender, loans) ->
                        actions.add(
                                new RateAction.Ask(
                                        lender,
                                        account.workspace.id(),
                                        0,
                                        "",
                                        List.copyOf(loans))));
        account.spent.clear();
    }

    /** Returns whether no router can lend, now or soon. */
    boolean noneToAsk(Account account) {
        return keeper.lenders(account).isEmpty() && !keeper.awaitsOthers(account);
    }

    /** Returns whether all lenders were asked and the last round brought nothing. */
    boolean nothingCame(Account account) {
        boolean allAsked = account.dryAsks >= keeper.lenders(account).size();
        return account.unanswered.isEmpty() && account.brought == 0 && allAsked;
    }

    private List<VmId> nextLenders(Account account, boolean fresh) {
        List<VmId> all = keeper.lenders(account);
        if (all.isEmpty() || !borrows(account)) {
            return nextFew(account, all);
        }
        if (fresh) {
            long large = all.stream().filter(lender -> large(account, lender)).count();
            int first = Math.floorMod(account.turn, (int) Math.max(1, large));
            return List.of(all.get(first));
        }
        account.turn++;
        return all;
    }

    // Lenders are sorted by share, so those with a large part come first.
    private static boolean large(Account account, VmId lender) {
        return account.row.table().shares().values().stream()
                .anyMatch(share -> share.vm().equals(lender) && share.part() >= LARGE_PART);
    }

    // Round robin over the lenders. With dozens of routers one share is less than one request: if
    // the same lenders were always asked first, they would be empty while the others are full.
    private static List<VmId> nextFew(Account account, List<VmId> all) {
        if (all.size() <= MOST_ASKED) {
            return all;
        }
        List<VmId> next = new ArrayList<>();
        for (int i = 0; i < MOST_ASKED; i++) {
            next.add(all.get(Math.floorMod(account.turn++, all.size())));
        }
        return next;
    }
}
