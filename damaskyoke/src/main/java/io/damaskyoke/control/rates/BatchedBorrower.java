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
final class BatchedBorrower {
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
    private final ShareBalancer keeper;

    BatchedBorrower(Incarnation self, RateSettings settings, ShareBalancer keeper) {
        this.self = self;
        this.settings = settings;
        this.keeper = keeper;
    }

    /**
     * Requests the tokens that queued requests lack, unless answers are pending or the last token
     * request is very recent.
     */
    void requestMissing(
            WorkspaceAccount account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        boolean soon = now.isBefore(account.askedAt.plus(requestInterval(account)));
        boolean awaited = !account.unanswered.isEmpty() && !answersOverdue(account, now);
        if (!account.held.isEmpty() && !soon && !awaited) {
            requestNextRound(account, numbers, now, actions);
        }
    }

    // An owner waits for its own rate, and the shares of the others are small. Until they have
    // refilled enough for one request, asking them again brings nothing. Their buckets take longer
    // than this to overflow.
    private Duration requestInterval(WorkspaceAccount account) {
        return keeper.isOwner(account) ? OWNER_ASK_GAP : ASK_GAP;
    }

    /** Asks the other lenders at once when the single lender that was asked had too few tokens. */
    void requestFromOthers(
            WorkspaceAccount account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        boolean had = account.askedOne && account.unanswered.isEmpty();
        if (had && !account.held.isEmpty()) {
            requestNextRound(account, numbers, now, actions);
        }
    }

    private void requestNextRound(
            WorkspaceAccount account, LongSupplier numbers, Instant now, List<RateAction> actions) {
        boolean fresh = account.held.first(now).arrivalNumber() > account.askedUpTo;
        List<VmId> others = nextLenders(account, fresh);
        long tokens = missingTokens(account, now);
        if (others.isEmpty() || tokens <= 0) {
            return;
        }
        recordRound(account, others, fresh, numbers.getAsLong(), now);
        boolean split = account.asks == 2 && hasNoShare(account);
        for (VmId other : others) {
            long part = split ? proportionalPart(account, other, tokens) : tokens;
            actions.add(
                    new RateAction.SendTokenRequest(
                            other, account.workspace.id(), part, account.ask, List.of()));
        }
    }

    // After the single lender had too few tokens, the first round asks each lender for its
    // proportional part. Whatever one of them lacks, the next round asks for in full from each; it
    // is little by then.
    private long proportionalPart(WorkspaceAccount account, VmId lender, long tokens) {
        long all = 0;
        long own = 0;
        for (ShareTable.Share share : account.row.table().shares().values()) {
            all += share.part();
            own += share.vm().equals(lender) ? share.part() : 0;
        }
        return Math.max(1, (tokens * own + all - 1) / Math.max(1, all));
    }

    private void recordRound(
            WorkspaceAccount account, List<VmId> asked, boolean fresh, long number, Instant now) {
        boolean dry = !fresh && account.brought == 0;
        account.ask = self.value() + '.' + number;
        account.askedAt = now;
        account.askedUpTo = number;
        account.asks = fresh ? 1 : account.asks + 1;
        account.askedOne = fresh && hasNoShare(account);
        account.dryAsks = dry ? account.dryAsks + asked.size() : asked.size();
        account.brought = 0;
        account.unanswered.clear();
        account.unanswered.addAll(asked);
    }

    /** Returns whether answers to the last round may still arrive. */
    boolean awaitsAnswers(WorkspaceAccount account, Instant now) {
        return !account.unanswered.isEmpty() && now.isBefore(account.askedAt.plus(LENDER_PATIENCE));
    }

    private long missingTokens(WorkspaceAccount account, Instant now) {
        double need =
                account.held.totalTokens() + lookAheadTokens(account, now) - account.available();
        return (long) Math.ceil(Math.min(need, account.workspace.burst()));
    }

    // Tokens borrowed ahead of need lie idle for up to two seconds. With two dozen routers that
    // borrow for each request, one request's worth at each of them would be the whole burst.
    private double lookAheadTokens(WorkspaceAccount account, Instant now) {
        boolean exact = keeper.needsOwner(account) || hasNoShare(account);
        return exact ? 0 : account.demand(now) * LOOK_AHEAD_SECONDS;
    }

    private boolean answersOverdue(WorkspaceAccount account, Instant now) {
        Duration patience = hasNoShare(account) ? LENDER_PATIENCE : settings.queueTimeout();
        return now.isAfter(account.askedAt.plus(patience));
    }

    private boolean hasNoShare(WorkspaceAccount account) {
        return account.row != null && !keeper.hasShare(account);
    }

    /** Reports to lenders which of their transfers are spent or expired. */
    void reportSpent(WorkspaceAccount account, List<RateAction> actions) {
        account.spent.forEach(
                (lender, loans) ->
                        actions.add(
                                new RateAction.SendTokenRequest(
                                        lender,
                                        account.workspace.id(),
                                        0,
                                        "",
                                        List.copyOf(loans))));
        account.spent.clear();
    }

    /** Returns whether no router can lend, now or soon. */
    boolean hasNoLenders(WorkspaceAccount account) {
        return keeper.lenders(account).isEmpty() && !keeper.awaitsJoiningRouters(account);
    }

    /** Returns whether all lenders were asked and the last round brought nothing. */
    boolean allLendersEmpty(WorkspaceAccount account) {
        boolean allAsked = account.dryAsks >= keeper.lenders(account).size();
        return account.unanswered.isEmpty() && account.brought == 0 && allAsked;
    }

    private List<VmId> nextLenders(WorkspaceAccount account, boolean fresh) {
        List<VmId> all = keeper.lenders(account);
        if (all.isEmpty() || !hasNoShare(account)) {
            return nextRoundRobin(account, all);
        }
        if (fresh) {
            long large = all.stream().filter(lender -> hasLargePart(account, lender)).count();
            int first = Math.floorMod(account.turn, (int) Math.max(1, large));
            return List.of(all.get(first));
        }
        account.turn++;
        return all;
    }

    // Lenders are sorted by share, so those with a large part come first.
    private static boolean hasLargePart(WorkspaceAccount account, VmId lender) {
        return account.row.table().shares().values().stream()
                .anyMatch(share -> share.vm().equals(lender) && share.part() >= LARGE_PART);
    }

    // Round robin over the lenders. With dozens of routers one share is less than one request: if
    // the same lenders were always asked first, they would be empty while the others are full.
    private static List<VmId> nextRoundRobin(WorkspaceAccount account, List<VmId> all) {
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
