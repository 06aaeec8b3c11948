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

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(20);
    private static final Duration OWNER_REQUEST_INTERVAL = Duration.ofMillis(400);
    private static final Duration LARGE_STANDBY_REQUEST_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_LENDERS_PER_ROUND = 8;

    /**
     * Time after which an unanswered lender no longer holds up further token requests. A transfer
     * takes a few milliseconds. The queue timeout is a few times this value, so that time remains
     * to ask the other lenders.
     */
    private static final Duration LENDER_TIMEOUT = Duration.ofMillis(40);

    private final Incarnation self;
    private final RateSettings settings;
    private final ShareBalancer balancer;

    BatchedBorrower(Incarnation self, RateSettings settings, ShareBalancer balancer) {
        this.self = self;
        this.settings = settings;
        this.balancer = balancer;
    }

    /**
     * Requests the tokens that queued requests lack, unless answers are pending or the last token
     * request is very recent.
     */
    void requestMissing(
            WorkspaceAccount account,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        boolean tooSoon = now.isBefore(account.requestedAt.plus(requestInterval(account)));
        boolean answersPending = !account.awaitedLenders.isEmpty() && !answersOverdue(account, now);
        if (!account.queue.isEmpty() && !tooSoon && !answersPending) {
            requestNextRound(account, sequence, now, actions);
        }
    }

    // An owner waits for its own rate, and the shares of the others are small. Until they have
    // refilled enough for one request, asking them again brings nothing. Their buckets take longer
    // than this to overflow. Large standbys refill sooner, so they are asked more often.
    private Duration requestInterval(WorkspaceAccount account) {
        if (balancer.hasLargeStandbys(account)) {
            return LARGE_STANDBY_REQUEST_INTERVAL;
        }
        return balancer.isOwner(account) ? OWNER_REQUEST_INTERVAL : REQUEST_INTERVAL;
    }

    /** Asks the other lenders at once when the single lender that was asked had too few tokens. */
    void requestFromOthers(
            WorkspaceAccount account,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        boolean singleLenderAnswered =
                account.askedSingleLender && account.awaitedLenders.isEmpty();
        if (singleLenderAnswered && !account.queue.isEmpty()) {
            requestNextRound(account, sequence, now, actions);
        }
    }

    private void requestNextRound(
            WorkspaceAccount account,
            LongSupplier sequence,
            Instant now,
            List<RateAction> actions) {
        boolean newRequest = account.queue.first(now).arrivalNumber() > account.lastCoveredArrival;
        List<VmId> others = nextLenders(account, newRequest);
        long tokens = missingTokens(account, now);
        if (others.isEmpty() || tokens <= 0) {
            return;
        }
        recordRound(account, others, newRequest, sequence.getAsLong(), now);
        boolean split = account.rounds == 2 && hasNoShare(account);
        for (VmId other : others) {
            long part = split ? proportionalPart(account, other, tokens) : tokens;
            actions.add(
                    new RateAction.SendTokenRequest(
                            other, account.workspace.id(), part, account.requestId, List.of()));
        }
    }

    // After the single lender had too few tokens, the first round asks each lender for its
    // proportional part. Whatever one of them lacks, the next round asks for in full from each; it
    // is little by then.
    private long proportionalPart(WorkspaceAccount account, VmId lender, long tokens) {
        long totalPart = 0;
        long lenderPart = 0;
        for (ShareTable.Share share : account.row.table().shares().values()) {
            totalPart += share.part();
            lenderPart += share.vm().equals(lender) ? share.part() : 0;
        }
        return Math.max(1, (tokens * lenderPart + totalPart - 1) / Math.max(1, totalPart));
    }

    private void recordRound(
            WorkspaceAccount account,
            List<VmId> lenders,
            boolean newRequest,
            long number,
            Instant now) {
        boolean broughtNothing = !newRequest && account.receivedTokens == 0;
        account.requestId = self.value() + '.' + number;
        account.requestedAt = now;
        account.lastCoveredArrival = number;
        account.rounds = newRequest ? 1 : account.rounds + 1;
        account.askedSingleLender = newRequest && hasNoShare(account);
        account.lendersWithoutTokens =
                broughtNothing ? account.lendersWithoutTokens + lenders.size() : lenders.size();
        account.receivedTokens = 0;
        account.awaitedLenders.clear();
        account.awaitedLenders.addAll(lenders);
    }

    /** Returns whether answers to the last round may still arrive. */
    boolean awaitsAnswers(WorkspaceAccount account, Instant now) {
        return !account.awaitedLenders.isEmpty()
                && now.isBefore(account.requestedAt.plus(LENDER_TIMEOUT));
    }

    private long missingTokens(WorkspaceAccount account, Instant now) {
        double needed =
                account.queue.totalTokens() + lookAheadTokens(account, now) - account.available();
        return (long) Math.ceil(Math.min(needed, account.workspace.burst()));
    }

    // Tokens borrowed ahead of need lie idle for up to two seconds. With two dozen routers that
    // borrow for each request, one request's worth at each of them would be the whole burst.
    private double lookAheadTokens(WorkspaceAccount account, Instant now) {
        boolean noLookAhead = balancer.needsOwner(account) || hasNoShare(account);
        return noLookAhead ? 0 : account.demand(now) * LOOK_AHEAD_SECONDS;
    }

    private boolean answersOverdue(WorkspaceAccount account, Instant now) {
        Duration timeout = hasNoShare(account) ? LENDER_TIMEOUT : settings.queueTimeout();
        return now.isAfter(account.requestedAt.plus(timeout));
    }

    private boolean hasNoShare(WorkspaceAccount account) {
        return account.row != null && !balancer.hasShare(account);
    }

    /** Reports to lenders which of their transfers are spent or expired. */
    void reportSpent(WorkspaceAccount account, List<RateAction> actions) {
        account.spentTransfers.forEach(
                (lender, transferIds) ->
                        actions.add(
                                new RateAction.SendTokenRequest(
                                        lender,
                                        account.workspace.id(),
                                        0,
                                        "",
                                        List.copyOf(transferIds))));
        account.spentTransfers.clear();
    }

    /** Returns whether no router can lend, now or soon. */
    boolean hasNoLenders(WorkspaceAccount account) {
        return balancer.lenders(account).isEmpty() && !balancer.awaitsJoiningRouters(account);
    }

    /** Returns whether all lenders were asked and the last round brought nothing. */
    boolean allLendersEmpty(WorkspaceAccount account) {
        boolean allAsked = account.lendersWithoutTokens >= balancer.lenders(account).size();
        return account.awaitedLenders.isEmpty() && account.receivedTokens == 0 && allAsked;
    }

    private List<VmId> nextLenders(WorkspaceAccount account, boolean newRequest) {
        List<VmId> lenders = balancer.lenders(account);
        if (lenders.isEmpty() || !hasNoShare(account)) {
            return nextRoundRobin(account, lenders);
        }
        if (newRequest) {
            long largeLenders =
                    lenders.stream().filter(lender -> hasLargePart(account, lender)).count();
            int first = Math.floorMod(account.nextLender, (int) Math.max(1, largeLenders));
            return List.of(lenders.get(first));
        }
        account.nextLender++;
        return lenders;
    }

    // Lenders are sorted by share, so those with a large part come first.
    private static boolean hasLargePart(WorkspaceAccount account, VmId lender) {
        return account.row.table().shares().values().stream()
                .anyMatch(share -> share.vm().equals(lender) && share.part() >= LARGE_PART);
    }

    // Round robin over the lenders. With dozens of routers one share is less than one request: if
    // the same lenders were always asked first, they would be empty while the others are full.
    private static List<VmId> nextRoundRobin(WorkspaceAccount account, List<VmId> lenders) {
        if (lenders.size() <= MAX_LENDERS_PER_ROUND) {
            return lenders;
        }
        List<VmId> next = new ArrayList<>();
        for (int i = 0; i < MAX_LENDERS_PER_ROUND; i++) {
            next.add(lenders.get(Math.floorMod(account.nextLender++, lenders.size())));
        }
        return next;
    }
}
