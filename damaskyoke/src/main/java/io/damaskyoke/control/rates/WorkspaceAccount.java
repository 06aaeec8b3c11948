package io.damaskyoke.control.rates;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One workspace's tokens at one router: the router's own bucket, the tokens it borrowed and lent,
 * and the requests that wait for tokens.
 *
 * <p>At any time the router's own tokens, transfers in flight and unspent transfers add up to at
 * most this router's part of the burst plus what others lent it. A transfer lowers the lender's cap
 * until it is spent or has expired. Tokens set aside for a request that waits for the rest lower
 * the cap as well.
 */
final class WorkspaceAccount {
    private static final double DEMAND_SECONDS = 4.0;
    private static final double NANOS = 1e9;

    /** A workspace that lacked tokens is likely to lack them again within this time. */
    private static final Duration SHORT_TIME = Duration.ofMillis(500);

    /**
     * Fill level, as a fraction of the cap, that a bucket must hold for some time before half of it
     * is reserved for the next incarnation.
     */
    private static final double PLENTY = 0.75;

    final TokenBucket bucket;
    final TokenQueue held = new TokenQueue();
    final AnswerTimeEstimate answerTime = new AnswerTimeEstimate();
    final PendingTokenRequests asksOfOwner = new PendingTokenRequests(answerTime);
    final Map<VmId, List<String>> spent = new HashMap<>();
    final Set<VmId> unanswered = new HashSet<>();
    Workspace workspace;
    RateInput.ShareRow row;
    WorkspaceAccount.PendingDecrease lowering;
    WorkspaceAccount.PendingReserve raise;
    Instant fullSince;
    Instant shortAt = Instant.MIN;
    private double floor;
    String ask = "";
    Instant askedAt = Instant.MIN;
    long askedUpTo;
    boolean askedOne;
    int asks;
    long brought;
    int dryAsks;
    int turn;
    private final ArrayDeque<WorkspaceAccount.IncomingTransfer> borrowed = new ArrayDeque<>();
    private final Map<String, WorkspaceAccount.OutgoingTransfer> lent = new HashMap<>();
    private double demand;
    private Instant demandAt;
    private long writtenOver = -1;
    private Instant writtenUntil = Instant.MIN;

    WorkspaceAccount(Workspace workspace, Instant now) {
        this.workspace = workspace;
        this.bucket = new TokenBucket(now);
        this.demandAt = now;
    }

    /**
     * A write in flight that lowers this router's part. It counts before the store has confirmed
     * it.
     */
    record PendingDecrease(int part, long revision) {}

    /** A write in flight that raises the reserved part. It binds from the moment it is sent. */
    record PendingReserve(int kept, long revision) {}

    private record OutgoingTransfer(double tokens, Instant until) {}

    private static final class IncomingTransfer {
        private final VmId from;
        private final String loan;
        private final Instant until;
        private double tokens;

        IncomingTransfer(VmId from, String loan, double tokens, Instant until) {
            this.from = from;
            this.loan = loan;
            this.tokens = tokens;
            this.until = until;
        }
    }

    /**
     * Refills the bucket, drops expired transfers and applies the current share.
     *
     * @param part this router's part of the workspace, in millionths
     * @param kept the part of it that is reserved for the next incarnation, in millionths
     */
    void advance(int part, int kept, Instant now) {
        bucket.refill(now);
        lent.values().removeIf(loan -> !now.isBefore(loan.until()));
        borrowed.removeIf(loan -> settleIfUsedUp(loan, now));
        double portion = part / (double) ShareTable.WHOLE;
        double elsewhere = lentTokens() + asksOfOwner.setAsideTokens();
        double cap = Math.max(0, portion * workspace.burst() - elsewhere);
        bucket.resize(portion * workspace.rate(), cap);
        held.setRate(workspace.rate());
        floor = kept / (double) ShareTable.WHOLE * workspace.burst();
        updateFullSince(cap, now);
    }

    /** Returns the number of requests that wait for tokens, in the local queue or at a lender. */
    int waitingRequests() {
        return held.size() + asksOfOwner.size();
    }

    /**
     * Returns whether a request here, or a router that requested tokens, lacked tokens recently.
     */
    boolean lackedTokensRecently(Instant now) {
        return !held.isEmpty()
                || !shortAt.equals(Instant.MIN) && now.isBefore(shortAt.plus(SHORT_TIME));
    }

    private void updateFullSince(double cap, Instant now) {
        boolean plenty = cap > 0 && bucket.tokens() >= cap * PLENTY && !lackedTokensRecently(now);
        if (!plenty) {
            fullSince = null;
        } else if (fullSince == null) {
            fullSince = now;
        }
    }

    /**
     * Returns the own tokens that may be spent, without those reserved for the next incarnation on
     * this VM.
     */
    double spendableOwnTokens() {
        return Math.max(Math.min(0, bucket.tokens()), bucket.tokens() - floor);
    }

    private boolean settleIfUsedUp(WorkspaceAccount.IncomingTransfer loan, Instant now) {
        if (loan.tokens > 0 && now.isBefore(loan.until)) {
            return false;
        }
        bucket.refund(loan.tokens);
        recordSpent(loan.from, loan.loan);
        return true;
    }

    double available() {
        return spendableOwnTokens() + borrowed.stream().mapToDouble(loan -> loan.tokens).sum();
    }

    /**
     * Takes this many tokens, borrowed ones first because they expire. Returns false if there are
     * not enough.
     */
    boolean take(long tokens) {
        if (available() < tokens) {
            return false;
        }
        spend(tokens);
        return true;
    }

    private void spend(double tokens) {
        double left = tokens;
        for (WorkspaceAccount.IncomingTransfer loan : borrowed) {
            double part = Math.min(left, loan.tokens);
            loan.tokens -= part;
            left -= part;
        }
        bucket.take(left);
    }

    /**
     * Takes up to this many available tokens and sets them aside for a request that waits for the
     * rest. Returns the number of tokens set aside.
     */
    double setAside(long tokens) {
        double here = Math.max(0, Math.min(tokens, available()));
        spend(here);
        return here;
    }

    /** Records that a transfer was spent on arrival, to be reported to its lender. */
    void recordSpent(VmId from, String loan) {
        spent.computeIfAbsent(from, vm -> new ArrayList<>()).add(loan);
    }

    void borrow(VmId from, String loan, long tokens, Instant until) {
        borrowed.add(new WorkspaceAccount.IncomingTransfer(from, loan, tokens, until));
    }

    /** Lends own tokens until the given time. */
    void lend(String loan, long tokens, Instant until) {
        bucket.take(tokens);
        lent.put(loan, new WorkspaceAccount.OutgoingTransfer(tokens, until));
    }

    /**
     * Lends own and borrowed tokens. All of them count as lent here, and the first lender may
     * refill: the borrowed tokens exist only in the new transfer.
     */
    void lendIncludingBorrowed(String loan, long tokens, Instant until) {
        spend(tokens);
        lent.put(loan, new WorkspaceAccount.OutgoingTransfer(tokens, until));
    }

    boolean hasLent(String loan) {
        return lent.containsKey(loan);
    }

    double lentTokens() {
        return lent.values().stream().mapToDouble(WorkspaceAccount.OutgoingTransfer::tokens).sum();
    }

    /**
     * Records a write that replaces this revision. No other write is sent before its result is
     * known or the time has passed.
     */
    void recordWrite(long revision, Instant until) {
        writtenOver = revision;
        writtenUntil = until;
    }

    /** Returns whether a write is in flight that may still be applied. */
    boolean hasWriteInFlight(Instant now) {
        long revision = row == null ? 0 : row.revision();
        return writtenOver == revision && now.isBefore(writtenUntil);
    }

    void removeLent(String loan) {
        lent.remove(loan);
    }

    /** Adds requested tokens to the demand, whether or not the request is admitted. */
    void recordDemand(double tokens, Instant now) {
        demand = Math.max(0, demand(now) + tokens / DEMAND_SECONDS);
        demandAt = now;
    }

    /** Returns the recent demand here, in tokens per second. */
    double demand(Instant now) {
        double seconds = Math.max(0, Duration.between(demandAt, now).toNanos() / NANOS);
        return demand * Math.exp(-seconds / DEMAND_SECONDS);
    }
}
