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
import java.util.function.UnaryOperator;

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
    private static final double DEMAND_WINDOW_SECONDS = 4.0;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A workspace that lacked tokens is likely to lack them again within this time. */
    private static final Duration RECENT_SHORTAGE = Duration.ofMillis(500);

    /**
     * Fill level, as a fraction of the cap, that a bucket must hold for some time before half of it
     * is reserved for the next incarnation.
     */
    private static final double NEARLY_FULL = 0.75;

    final TokenBucket bucket;
    final TokenQueue queue = new TokenQueue();
    final AnswerTimeEstimate answerTime = new AnswerTimeEstimate();
    final PendingTokenRequests pendingRequests = new PendingTokenRequests(answerTime);
    final Map<VmId, List<String>> spentTransfers = new HashMap<>();
    final Set<VmId> awaitedLenders = new HashSet<>();
    Workspace workspace;
    RateInput.ShareRow row;
    PendingDecrease pendingDecrease;
    PendingReserve pendingReserve;
    Instant nearlyFullSince;
    Instant lastShortAt = Instant.MIN;
    private double reservedTokens;
    String requestId = "";
    Instant requestedAt = Instant.MIN;
    long lastCoveredArrival;
    boolean askedSingleLender;
    int rounds;
    long receivedTokens;
    int lendersWithoutTokens;
    int nextLender;
    private final ArrayDeque<IncomingTransfer> borrowed = new ArrayDeque<>();
    private final Map<String, OutgoingTransfer> lent = new HashMap<>();
    private final UnaryOperator<Instant> accrualTime;
    private double demand;
    private Instant demandUpdatedAt;
    private long writtenRevision = -1;
    private Instant writeDeadline = Instant.MIN;

    /**
     * Creates an account without tokens.
     *
     * @param accrualTime the time by which tokens accrue, at a given time
     */
    WorkspaceAccount(Workspace workspace, Instant now, UnaryOperator<Instant> accrualTime) {
        this.workspace = workspace;
        this.accrualTime = accrualTime;
        this.bucket = new TokenBucket(accrualTime.apply(now));
        this.demandUpdatedAt = now;
    }

    /**
     * A write in flight that lowers this router's part. It counts before the store has confirmed
     * it.
     */
    record PendingDecrease(int part, long revision) {}

    /** A write in flight that raises the reserved part. It binds from the moment it is sent. */
    record PendingReserve(int reservedPart, long revision) {}

    private record OutgoingTransfer(double tokens, Instant expiry) {}

    private static final class IncomingTransfer {
        private final VmId from;
        private final String transferId;
        private final Instant expiry;
        private double tokens;

        IncomingTransfer(VmId from, String transferId, double tokens, Instant expiry) {
            this.from = from;
            this.transferId = transferId;
            this.tokens = tokens;
            this.expiry = expiry;
        }
    }

    /**
     * Refills the bucket, drops expired transfers and applies the current share.
     *
     * @param part this router's part of the workspace, in millionths
     * @param reservedPart the part of it that is reserved for the next incarnation, in millionths
     */
    void advance(int part, int reservedPart, Instant now) {
        bucket.refill(accrualTime(now));
        lent.values().removeIf(transfer -> !now.isBefore(transfer.expiry()));
        borrowed.removeIf(transfer -> settleIfUsedUp(transfer, now));
        double fraction = part / (double) ShareTable.WHOLE;
        double unavailable = lentTokens() + pendingRequests.setAsideTokens();
        double cap = Math.max(0, fraction * workspace.burst() - unavailable);
        bucket.resize(fraction * workspace.rate(), cap);
        queue.setRate(workspace.rate());
        reservedTokens = reservedPart / (double) ShareTable.WHOLE * workspace.burst();
        updateNearlyFullSince(cap, now);
    }

    /** Returns the time by which tokens accrue, at that time. */
    Instant accrualTime(Instant now) {
        return accrualTime.apply(now);
    }

    /** Returns the number of requests that wait for tokens, in the local queue or at a lender. */
    int waitingRequests() {
        return queue.size() + pendingRequests.size();
    }

    /**
     * Returns whether a request here, or a router that requested tokens, lacked tokens recently.
     */
    boolean lackedTokensRecently(Instant now) {
        return !queue.isEmpty()
                || !lastShortAt.equals(Instant.MIN)
                        && now.isBefore(lastShortAt.plus(RECENT_SHORTAGE));
    }

    private void updateNearlyFullSince(double cap, Instant now) {
        boolean nearlyFull =
                cap > 0 && bucket.tokens() >= cap * NEARLY_FULL && !lackedTokensRecently(now);
        if (!nearlyFull) {
            nearlyFullSince = null;
        } else if (nearlyFullSince == null) {
            nearlyFullSince = now;
        }
    }

    /**
     * Returns the own tokens that may be spent, without those reserved for the next incarnation on
     * this VM.
     */
    double spendableOwnTokens() {
        return Math.max(Math.min(0, bucket.tokens()), bucket.tokens() - reservedTokens);
    }

    private boolean settleIfUsedUp(IncomingTransfer transfer, Instant now) {
        if (transfer.tokens > 0 && now.isBefore(transfer.expiry)) {
            return false;
        }
        bucket.refund(transfer.tokens);
        recordSpent(transfer.from, transfer.transferId);
        return true;
    }

    double available() {
        return spendableOwnTokens()
                + borrowed.stream().mapToDouble(transfer -> transfer.tokens).sum();
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
        double remaining = tokens;
        for (IncomingTransfer transfer : borrowed) {
            double part = Math.min(remaining, transfer.tokens);
            transfer.tokens -= part;
            remaining -= part;
        }
        bucket.take(remaining);
    }

    /**
     * Takes up to this many available tokens and sets them aside for a request that waits for the
     * rest. Returns the number of tokens set aside.
     */
    double setAside(long tokens) {
        double taken = Math.max(0, Math.min(tokens, available()));
        spend(taken);
        return taken;
    }

    /** Records that a transfer was spent on arrival, to be reported to its lender. */
    void recordSpent(VmId from, String transferId) {
        spentTransfers.computeIfAbsent(from, vm -> new ArrayList<>()).add(transferId);
    }

    void borrow(VmId from, String transferId, long tokens, Instant expiry) {
        borrowed.add(new IncomingTransfer(from, transferId, tokens, expiry));
    }

    /** Lends own tokens until the given time. */
    void lend(String transferId, long tokens, Instant expiry) {
        bucket.take(tokens);
        lent.put(transferId, new OutgoingTransfer(tokens, expiry));
    }

    /**
     * Lends own and borrowed tokens. All of them count as lent here, and the first lender may
     * refill: the borrowed tokens exist only in the new transfer.
     */
    void lendIncludingBorrowed(String transferId, long tokens, Instant expiry) {
        spend(tokens);
        lent.put(transferId, new OutgoingTransfer(tokens, expiry));
    }

    boolean hasLent(String transferId) {
        return lent.containsKey(transferId);
    }

    double lentTokens() {
        return lent.values().stream().mapToDouble(OutgoingTransfer::tokens).sum();
    }

    /**
     * Records a write that replaces this revision. No other write is sent before its result is
     * known or the time has passed.
     */
    void recordWrite(long revision, Instant deadline) {
        writtenRevision = revision;
        writeDeadline = deadline;
    }

    /** Returns whether a write is in flight that may still be applied. */
    boolean hasWriteInFlight(Instant now) {
        long revision = row == null ? 0 : row.revision();
        return writtenRevision == revision && now.isBefore(writeDeadline);
    }

    void removeLent(String transferId) {
        lent.remove(transferId);
    }

    /** Adds requested tokens to the demand, whether or not the request is admitted. */
    void recordDemand(double tokens, Instant now) {
        demand = Math.max(0, demand(now) + tokens / DEMAND_WINDOW_SECONDS);
        demandUpdatedAt = now;
    }

    /** Returns the recent demand here, in tokens per second. */
    double demand(Instant now) {
        double seconds =
                Math.max(0, Duration.between(demandUpdatedAt, now).toNanos() / NANOS_PER_SECOND);
        return demand * Math.exp(-seconds / DEMAND_WINDOW_SECONDS);
    }
}
