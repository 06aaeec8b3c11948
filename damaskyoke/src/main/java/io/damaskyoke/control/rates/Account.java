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
 * One workspace at one router: its own bucket, what it has borrowed and lent, and who waits.
 *
 * <p>At each moment own tokens, loans on their way and loans not spent add up to no more than this
 * router's part of the burst and what others lent it: what is lent lowers the lender's cap until it
 * is spent or has run out. What is set aside for a request that waits for the rest lowers it, too.
 */
final class Account {
    private static final double DEMAND_SECONDS = 4.0;
    private static final double NANOS = 1e9;

    /** Who lacked tokens is likely to lack them again within this. */
    private static final Duration SHORT_TIME = Duration.ofMillis(500);

    /** Of its cap, what a bucket must hold for some time before half of it is kept. */
    private static final double PLENTY = 0.75;

    final Bucket bucket;
    final TokenQueue held = new TokenQueue();
    final AnswerTime answerTime = new AnswerTime();
    final OwnerAsks asksOfOwner = new OwnerAsks(answerTime);
    final Map<VmId, List<String>> spent = new HashMap<>();
    final Set<VmId> unanswered = new HashSet<>();
    Workspace workspace;
    RateInput.Row row;
    Lowering lowering;
    Raise raise;
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
    private final ArrayDeque<Borrowed> borrowed = new ArrayDeque<>();
    private final Map<String, Lent> lent = new HashMap<>();
    private double demand;
    private Instant demandAt;
    private long writtenOver = -1;
    private Instant writtenUntil = Instant.MIN;

    Account(Workspace workspace, Instant now) {
        this.workspace = workspace;
        this.bucket = new Bucket(now);
        this.demandAt = now;
    }

    /** A write under way that lowers our part; it counts before the store has confirmed it. */
    record Lowering(int part, long revision) {}

    /** A write under way that raises what we keep; it binds from its sending. */
    record Raise(int kept, long revision) {}

    private record Lent(double tokens, Instant until) {}

    private static final class Borrowed {
        private final VmId from;
        private final String loan;
        private final Instant until;
        private double tokens;

        Borrowed(VmId from, String loan, double tokens, Instant until) {
            this.from = from;
            this.loan = loan;
            this.tokens = tokens;
            this.until = until;
        }
    }

    /** Brings everything up to now, with this part of the whole, of which so much is kept. */
    void advance(int part, int kept, Instant now) {
        bucket.refill(now);
        lent.values().removeIf(loan -> !now.isBefore(loan.until()));
        borrowed.removeIf(loan -> usedUp(loan, now));
        double portion = part / (double) ShareTable.WHOLE;
        double elsewhere = lentOut() + asksOfOwner.aside();
        double cap = Math.max(0, portion * workspace.burst() - elsewhere);
        bucket.resize(portion * workspace.rate(), cap);
        held.rate(workspace.rate());
        floor = kept / (double) ShareTable.WHOLE * workspace.burst();
        notePlenty(cap, now);
    }

    /** Requests that wait for tokens, here or at the owner. */
    int waiting() {
        return held.size() + asksOfOwner.size();
    }

    /** True if a request here, or a router that asked for a loan, lacked tokens a moment ago. */
    boolean wasShort(Instant now) {
        return !held.isEmpty()
                || !shortAt.equals(Instant.MIN) && now.isBefore(shortAt.plus(SHORT_TIME));
    }

    private void notePlenty(double cap, Instant now) {
        boolean plenty = cap > 0 && bucket.tokens() >= cap * PLENTY && !wasShort(now);
        if (!plenty) {
            fullSince = null;
        } else if (fullSince == null) {
            fullSince = now;
        }
    }

    /**
     * Own tokens that may be spent: what is kept for the next life on this VM is not among them.
     */
    double own() {
        return Math.max(Math.min(0, bucket.tokens()), bucket.tokens() - floor);
    }

    private boolean usedUp(Borrowed loan, Instant now) {
        if (loan.tokens > 0 && now.isBefore(loan.until)) {
            return false;
        }
        bucket.giveBack(loan.tokens);
        spentAtOnce(loan.from, loan.loan);
        return true;
    }

    double available() {
        return own() + borrowed.stream().mapToDouble(loan -> loan.tokens).sum();
    }

    /** Takes the tokens, borrowed ones first as they run out; false if there are not enough. */
    boolean take(long tokens) {
        if (available() < tokens) {
            return false;
        }
        spend(tokens);
        return true;
    }

    private void spend(double tokens) {
        double left = tokens;
        for (Borrowed loan : borrowed) {
            double part = Math.min(left, loan.tokens);
            loan.tokens -= part;
            left -= part;
        }
        bucket.take(left);
    }

    /** Sets aside what is here of so many tokens, for a request that waits for the rest. */
    double setAside(long tokens) {
        double here = Math.max(0, Math.min(tokens, available()));
        spend(here);
        return here;
    }

    /** Notes that a loan was spent as it came. */
    void spentAtOnce(VmId from, String loan) {
        spent.computeIfAbsent(from, vm -> new ArrayList<>()).add(loan);
    }

    void borrow(VmId from, String loan, long tokens, Instant until) {
        borrowed.add(new Borrowed(from, loan, tokens, until));
    }

    /** Lends of its own. */
    void lend(String loan, long tokens, Instant until) {
        bucket.take(tokens);
        lent.put(loan, new Lent(tokens, until));
    }

    /**
     * Lends of its own and what others lent it. That counts as lent here, and its first lender may
     * fill up again: there is never more of it than the one loan.
     */
    void lendOn(String loan, long tokens, Instant until) {
        spend(tokens);
        lent.put(loan, new Lent(tokens, until));
    }

    boolean hasLent(String loan) {
        return lent.containsKey(loan);
    }

    double lentOut() {
        return lent.values().stream().mapToDouble(Lent::tokens).sum();
    }

    /** Notes a write over this revision; no other is tried before it has shown, or failed to. */
    void written(long revision, Instant until) {
        writtenOver = revision;
        writtenUntil = until;
    }

    /** True while a write is under way and may still land. */
    boolean writing(Instant now) {
        long revision = row == null ? 0 : row.revision();
        return writtenOver == revision && now.isBefore(writtenUntil);
    }

    void repaid(String loan) {
        lent.remove(loan);
    }

    /** Notes that somebody asked for tokens here, let in or not. */
    void wanted(double tokens, Instant now) {
        demand = Math.max(0, demand(now) + tokens / DEMAND_SECONDS);
        demandAt = now;
    }

    /** Tokens a second that were asked for here of late. */
    double demand(Instant now) {
        double seconds = Math.max(0, Duration.between(demandAt, now).toNanos() / NANOS);
        return demand * Math.exp(-seconds / DEMAND_SECONDS);
    }
}
