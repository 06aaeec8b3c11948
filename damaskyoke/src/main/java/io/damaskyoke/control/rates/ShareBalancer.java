package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Adjusts one router's shares in the store to its demand, and reclaims the shares of routers that
 * are gone.
 */
final class ShareBalancer {
    private static final double DEMAND_HEADROOM = 1.25;

    /**
     * Largest part of the whole to which a share follows demand; the rest is borrowed. This limits
     * what is lost with a router.
     */
    private static final double MAX_WANTED_FRACTION = 0.334;

    /** Time after which all routers that started together are on the list. */
    private static final Duration LIST_SETTLING_TIME = Duration.ofSeconds(3);

    /**
     * Head start in which the owner of a workspace takes its part before the others take theirs.
     */
    private static final Duration OWNER_HEAD_START = Duration.ofSeconds(3);

    /** How long after its start a router may still be about to get its shares. */
    private static final Duration JOIN_TIME = Duration.ofSeconds(2);

    /** How long after a start of all routers an owner may still be about to take its part. */
    private static final Duration OWNER_JOIN_TIME = Duration.ofSeconds(4);

    private static final int JITTER_MILLIS = 1_000;

    /** A bucket that was nearly full for this long is likely to stay so. */
    private static final Duration RESERVE_AFTER = Duration.ofSeconds(1);

    /** An even share of this many tokens holds a few of the largest usual requests. */
    private static final double MIN_EVEN_SHARE_TOKENS = 6_000;

    /** All routers but the owner together hold at most this fraction (1/n) of the whole. */
    private static final int STANDBY_DIVISOR = 4;

    /**
     * Parts of the holders other than the owner where a few routers hold the whole, by rank. An
     * owner that loses power is replaced only after ten seconds. A workspace that sends half of its
     * rate is hardly refused meanwhile if the others hold nearly half of it.
     */
    private static final List<Integer> STANDBY_PARTS =
            List.of(ShareTable.WHOLE / 5, ShareTable.WHOLE / 8, ShareTable.WHOLE / 8);

    private static final int MIN_WANT_CHANGE = ShareTable.WHOLE / 8;
    private static final int MIN_MOVED_PART = ShareTable.WHOLE / 20;
    private static final long FLEET_WRITES_PER_SECOND = 100;
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);

    private final Incarnation self;
    private final VmId vm;
    private final String address;
    private final RateSettings settings;
    private final SpendingPermission permission;
    private final Map<String, Instant> marksSeenAt = new HashMap<>();
    private final Set<WorkspaceId> freshTokensAdded = new HashSet<>();
    private Instant nextWriteAt = Instant.MIN;
    private Instant startedAt;
    private int nextAccount;
    private boolean leaving;

    ShareBalancer(
            Incarnation self,
            VmId vm,
            String address,
            RateSettings settings,
            SpendingPermission permission) {
        this.self = self;
        this.vm = vm;
        this.address = address;
        this.settings = settings;
        this.permission = permission;
    }

    /** Records that this incarnation runs. Nobody else spends on this VM from the first call on. */
    void recordRunning(Instant now) {
        if (startedAt == null) {
            startedAt = now;
        }
    }

    /** Returns how long this incarnation has run. */
    Duration age(Instant now) {
        return Duration.between(startedAt, now);
    }

    /**
     * Returns whether this router may still be about to get its shares, and lack tokens for that
     * reason.
     */
    boolean isJoining(Instant now) {
        return age(now).compareTo(JOIN_TIME) < 0;
    }

    /**
     * Returns whether owners that started along with this router may still be about to take their
     * parts.
     */
    boolean awaitsOwners(Instant now) {
        return age(now).compareTo(OWNER_JOIN_TIME) < 0;
    }

    /** Returns whether this router should hold a share. */
    boolean shouldHoldShare(WorkspaceAccount account) {
        return permission.shareHolders(account.workspace.id()).contains(vm);
    }

    /** Returns whether the store shows a share of this incarnation. */
    boolean hasShare(WorkspaceAccount account) {
        return account.row != null && account.row.table().share(self).isPresent();
    }

    /**
     * Returns whether one router should own the workspace: an even share would be too small, or
     * most routers hold none. Otherwise the routers without a share would ask the few holders, each
     * for a part of what they lack, and the remainders would be spread over dozens of routers, too
     * little at each for a request.
     */
    boolean needsOwner(WorkspaceAccount account) {
        int holders = permission.shareHolders(account.workspace.id()).size();
        boolean fewHolders = holders < permission.routerCount();
        boolean smallShares = account.workspace.burst() / holders < MIN_EVEN_SHARE_TOKENS;
        return settings.usesOwners() && (fewHolders || smallShares);
    }

    /**
     * Returns whether this router is the owner: it holds most of the workspace, and the others
     * request tokens from it.
     */
    boolean isOwner(WorkspaceAccount account) {
        return settings.usesOwners() && part(account) > ShareTable.WHOLE / 2;
    }

    /**
     * Returns true if this router owns the workspace and the shares of the standbys are large
     * enough to lend the tokens of several requests.
     */
    boolean hasLargeStandbys(WorkspaceAccount account) {
        return isOwner(account) && ranksStandbys(account);
    }

    /** Returns the other router that owns the workspace, if one does. */
    Optional<VmId> otherOwner(WorkspaceAccount account) {
        if (!settings.usesOwners() || account.row == null) {
            return Optional.empty();
        }
        return account.row.table().owner().filter(owner -> !owner.equals(vm));
    }

    /**
     * Returns whether this router requests tokens for each request, because another router owns the
     * workspace or should own it.
     */
    boolean borrowsPerRequest(WorkspaceAccount account) {
        return (otherOwner(account).isPresent() || needsOwner(account)) && !isOwner(account);
    }

    /**
     * Returns the other routers that may have tokens, the largest part first.
     *
     * <p>A router that starts during an outage of the store has never seen a share. It has none to
     * spend, so nothing can be spent twice; but without transfers from routers that hold shares, it
     * would refuse every request for as long as the outage lasts.
     */
    List<VmId> lenders(WorkspaceAccount account) {
        if (account.row == null) {
            return settings.usesOwners()
                    ? permission.otherShareHolders(account.workspace.id())
                    : permission.otherRouters();
        }
        return account.row.table().shares().values().stream()
                .filter(share -> !share.vm().equals(vm) && share.part() > 0)
                .filter(share -> share.mark().isEmpty())
                .sorted(Comparator.comparingInt(ShareTable.Share::part).reversed())
                .map(ShareTable.Share::vm)
                .toList();
    }

    boolean isLeaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
        nextWriteAt = Instant.MIN;
    }

    /**
     * Returns this router's part as it counts now, in millionths. A decrease counts at once, an
     * increase once the store shows it.
     */
    int part(WorkspaceAccount account) {
        if (account.row == null) {
            return 0;
        }
        int stored = account.row.table().part(self);
        return account.pendingDecrease == null
                ? stored
                : Math.min(stored, account.pendingDecrease.part());
    }

    /**
     * Returns the part of the burst, in millionths, that may not be spent because the next
     * incarnation on this VM will find it. A decrease counts once the store shows it; an increase
     * counts when its write is sent, since that write may be applied at any time.
     */
    int reservedPart(WorkspaceAccount account) {
        if (account.row == null) {
            return 0;
        }
        int stored = account.row.table().share(self).map(ShareTable.Share::kept).orElse(0);
        return account.pendingReserve == null
                ? stored
                : Math.max(stored, account.pendingReserve.reservedPart());
    }

    /**
     * Applies a row of the store. A decrease whose answer was lost may still be applied as long as
     * the row has the revision that it replaces, and counts until it no longer can.
     */
    void applyRow(WorkspaceAccount account, RateInput.ShareRow row, Instant now) {
        if (row == null || account.row != null && row.revision() < account.row.revision()) {
            return;
        }
        account.row = row;
        if (account.pendingDecrease != null
                && account.pendingDecrease.revision() != row.revision()) {
            account.pendingDecrease = null;
        }
        if (account.pendingReserve != null && account.pendingReserve.revision() != row.revision()) {
            account.pendingReserve = null;
        }
        row.table().share(self).ifPresent(share -> addFreshTokens(account, share, now));
        row.table().shares().values().stream()
                .map(ShareTable.Share::mark)
                .filter(mark -> !mark.isEmpty())
                .forEach(mark -> marksSeenAt.putIfAbsent(mark, now));
    }

    // Nobody has spent this part of the burst. Without it, a new workspace would be refused within
    // its rate until its buckets have filled, and so would all workspaces after a restart of all
    // routers.
    private void addFreshTokens(WorkspaceAccount account, ShareTable.Share own, Instant now) {
        if (freshTokensAdded.add(account.workspace.id())) {
            account.advance(part(account), reservedPart(account), now);
            double fresh = own.fresh() / (double) ShareTable.WHOLE;
            account.bucket.refund(fresh * account.workspace.burst());
        }
    }

    /**
     * Writes the tables that should change, within this router's part of the store's call budget.
     * It continues where it stopped: if it always started at the first workspace, the shares of the
     * last ones would hardly ever change.
     */
    void balance(List<WorkspaceAccount> accounts, Instant now, List<RateAction> actions) {
        for (int step = 0; step < accounts.size(); step++) {
            WorkspaceAccount account = accounts.get((nextAccount + step) % accounts.size());
            ShareTable nextTable = account.hasWriteInFlight(now) ? null : nextTable(account, now);
            if (nextTable == null) {
                continue;
            }
            boolean urgent =
                    !hasShare(account)
                            || shouldReleaseReserve(account, now)
                            || holdsSurplusShare(account, now);
            if (urgent || !now.isBefore(nextWriteAt)) {
                nextWriteAt = now.plus(writeInterval(nextTable));
                nextAccount = (nextAccount + step + 1) % accounts.size();
                write(account, nextTable, now, actions);
            }
        }
    }

    private void write(
            WorkspaceAccount account, ShareTable nextTable, Instant now, List<RateAction> actions) {
        long revision = account.row == null ? 0 : account.row.revision();
        if (nextTable.part(self) < part(account)) {
            account.pendingDecrease =
                    new WorkspaceAccount.PendingDecrease(nextTable.part(self), revision);
            account.advance(part(account), reservedPart(account), now);
        }
        int reserved = nextTable.share(self).map(ShareTable.Share::kept).orElse(0);
        if (reserved > reservedPart(account)) {
            account.pendingReserve = new WorkspaceAccount.PendingReserve(reserved, revision);
            account.advance(part(account), reserved, now);
        }
        account.recordWrite(revision, now.plus(WRITE_TIMEOUT));
        actions.add(new RateAction.WriteShares(account.workspace.id(), nextTable, revision));
    }

    private Duration writeInterval(ShareTable table) {
        Duration evenInterval =
                Duration.ofMillis(1000L * table.shares().size() / FLEET_WRITES_PER_SECOND);
        return evenInterval.compareTo(settings.writeInterval()) > 0
                ? evenInterval
                : settings.writeInterval();
    }

    /** Returns the table as it should be, or null if it may stay. */
    private ShareTable nextTable(WorkspaceAccount account, Instant now) {
        if (!permission.isReadRecent(now)) {
            return null;
        }
        if (yieldsToOwner(account, now)) {
            return null;
        }
        Set<VmId> holders = permission.shareHolders(account.workspace.id());
        boolean shouldHold = !leaving && holders.contains(vm);
        if (account.row == null) {
            return shouldHold ? joinTable(ShareTable.empty(self), account, holders, 0) : null;
        }
        ShareTable table = account.row.table();
        if (leaving || holdsSurplusShare(account, now)) {
            return withdrawOwnShare(account, table, holders.size());
        }
        if (table.share(self).isEmpty()) {
            return shouldHold
                    ? joinTable(table, account, holders, accruedFraction(account, now))
                    : null;
        }
        return adjusted(account, table, table.share(self).get(), now);
    }

    // At a start of all routers each would write its small part into each row, and the owners,
    // whose parts all routers wait for, would lose one compare-and-set race after another.
    private boolean yieldsToOwner(WorkspaceAccount account, Instant now) {
        Duration headStart =
                OWNER_HEAD_START.plusMillis(Math.floorMod(vm.hashCode(), JITTER_MILLIS));
        return needsOwner(account)
                && !hasShare(account)
                && !permission.isDesignatedOwner(account.workspace.id())
                && age(now).compareTo(headStart) < 0;
    }

    private ShareTable joinTable(
            ShareTable table, WorkspaceAccount account, Set<VmId> holders, double accrued) {
        if (!needsOwner(account)) {
            return table.join(self, vm, address, holders.size(), accrued);
        }
        boolean owner = permission.isDesignatedOwner(account.workspace.id());
        int part =
                owner ? ownerPart(account, holders.size()) : standbyPart(account, holders.size());
        return table.joinWithPart(self, vm, address, part, accrued);
    }

    private int ownerPart(WorkspaceAccount account, int holders) {
        int standby =
                ranksStandbys(account)
                        ? STANDBY_PARTS.stream().mapToInt(Integer::intValue).sum()
                        : evenStandbyPart(holders) * (holders - 1);
        return ShareTable.WHOLE - standby;
    }

    // The part of a router that is not the owner, from which requests are served while the owner is
    // lost.
    private int standbyPart(WorkspaceAccount account, int holders) {
        int rank = permission.holderRank(account.workspace.id()).orElse(0);
        return ranksStandbys(account) && rank > 0
                ? STANDBY_PARTS.get(rank - 1)
                : evenStandbyPart(holders);
    }

    private static int evenStandbyPart(int holders) {
        return ShareTable.WHOLE / (STANDBY_DIVISOR * holders);
    }

    // True if only a few of many routers hold shares of the workspace. In a small fleet every
    // router holds one, and the standbys have even parts.
    private boolean ranksStandbys(WorkspaceAccount account) {
        int holders = permission.shareHolders(account.workspace.id()).size();
        return holders < permission.routerCount() && holders == STANDBY_PARTS.size() + 1;
    }

    private ShareTable adjusted(
            WorkspaceAccount account, ShareTable table, ShareTable.Share own, Instant now) {
        int want = wantedPart(account, table.shares().size(), now);
        if (!own.mark().isEmpty()) {
            return table.withPartAndWant(self, own.part(), want);
        }
        if (shouldReleaseReserve(account, now)) {
            return table.withKept(self, 0);
        }
        ShareTable without = markOrRemoveGone(table, account, now);
        ShareTable redistributed =
                without != null ? without : redistributed(account, table, own, want);
        return redistributed != null || !shouldReserve(account, own, now)
                ? redistributed
                : table.withKept(self, Math.min(own.part() / 2, bucketPart(account)));
    }

    // At a start routers see only a part of the list, and more of them take shares than should hold
    // one. If they kept them, the tokens of a workspace would be scattered over all of them, and
    // without an owner each router would ask every other in turn.
    private boolean holdsSurplusShare(WorkspaceAccount account, Instant now) {
        Duration settlingTime =
                LIST_SETTLING_TIME.plusMillis(Math.floorMod(vm.hashCode(), JITTER_MILLIS));
        return !shouldHoldShare(account)
                && hasShare(account)
                && age(now).compareTo(settlingTime) >= 0;
    }

    // Lent tokens stay in the part until they are returned. A router that gets token requests all
    // the time has always lent something, so the rest is withdrawn at once.
    private ShareTable withdrawOwnShare(WorkspaceAccount account, ShareTable table, int holders) {
        Optional<ShareTable.Share> own = table.share(self);
        if (own.isEmpty()) {
            return null;
        }
        int lent = lentPart(account);
        if (lent == 0) {
            return table.withdrawn(self, untouchedReserve(table, holders));
        }
        boolean worthWriting = own.get().part() - lent > MIN_MOVED_PART;
        return worthWriting
                ? table.redistributed(self, lent, 0, untouchedReserve(table, holders))
                : null;
    }

    private static int bucketPart(WorkspaceAccount account) {
        double part = account.bucket.tokens() / account.workspace.burst();
        return (int) (Math.max(0, Math.min(1, part)) * ShareTable.WHOLE);
    }

    // A request that waits, here or at a borrower, needs the reserved tokens now. The next
    // incarnation on this VM has to do without them.
    private boolean shouldReleaseReserve(WorkspaceAccount account, Instant now) {
        return account.lackedTokensRecently(now) && reservedPart(account) > 0;
    }

    // If unspent for a second, half of the burst can be reserved for the next incarnation.
    // Otherwise a killed router would take it along, and with all routers killed at once every
    // workspace would be refused within its rate for seconds. The parts of routers other than the
    // owner are not worth a write.
    private boolean shouldReserve(WorkspaceAccount account, ShareTable.Share own, Instant now) {
        boolean worthKeeping = !needsOwner(account) || isOwner(account);
        return settings.reservesForRestart()
                && worthKeeping
                && account.queue.isEmpty()
                && account.nearlyFullSince != null
                && !now.isBefore(account.nearlyFullSince.plus(RESERVE_AFTER))
                && reservedPart(account) < own.part() / 4
                && own.part() > 0;
    }

    // The fraction of a full burst that accrued since this incarnation started: nobody spent on
    // this VM since then.
    private double accruedFraction(WorkspaceAccount account, Instant now) {
        long millis = Duration.between(startedAt, account.accrualTime(now)).toMillis();
        double seconds = Math.max(0, millis) / 1000.0;
        return Math.min(1, seconds * account.workspace.rate() / account.workspace.burst());
    }

    private ShareTable markOrRemoveGone(ShareTable table, WorkspaceAccount account, Instant now) {
        for (Map.Entry<Incarnation, ShareTable.Share> entry : table.shares().entrySet()) {
            ShareTable.Share share = entry.getValue();
            boolean other = !entry.getKey().equals(self);
            if (!other || !permission.seemsGone(share.vm(), now)) {
                continue;
            }
            if (share.mark().isEmpty()) {
                String mark = self.value() + '#' + account.row.revision();
                return table.mark(entry.getKey(), mark);
            }
            Instant since = marksSeenAt.getOrDefault(share.mark(), now);
            if (!now.isBefore(since.plus(settings.reclaimDelay()))) {
                return table.remove(entry.getKey());
            }
        }
        return null;
    }

    private ShareTable redistributed(
            WorkspaceAccount account, ShareTable table, ShareTable.Share own, int want) {
        int target = Math.max(table.target(self, want), lentPart(account));
        boolean giveAway = target < own.part() && othersBelowWant(table);
        int reserve =
                untouchedReserve(table, permission.shareHolders(account.workspace.id()).size());
        ShareTable redistributed =
                table.redistributed(self, giveAway ? target : own.part(), want, reserve);
        // Routers that started before the others were listed wanted the parts of a small fleet. A
        // ranked part can differ from that by less than MIN_WANT_CHANGE.
        int leastChange = ranksStandbys(account) ? MIN_MOVED_PART : MIN_WANT_CHANGE;
        boolean wantChanged = Math.abs(want - own.want()) > leastChange;
        int moved = 0;
        for (Map.Entry<Incarnation, ShareTable.Share> entry : redistributed.shares().entrySet()) {
            moved += Math.max(0, entry.getValue().part() - table.part(entry.getKey()));
        }
        return wantChanged || moved > MIN_MOVED_PART ? redistributed : null;
    }

    // A router that creates a table and takes the whole would take it along when it dies: the
    // others, which had nothing yet, would refuse the workspace within its rate until the share is
    // reclaimed. So the untouched part is reserved for listed routers that have not joined.
    private static int untouchedReserve(ShareTable table, int holders) {
        return table.shares().size() < holders ? table.untouched() : 0;
    }

    /**
     * Returns whether routers on the list have still to take their untouched part, and can lend
     * then.
     */
    boolean awaitsJoiningRouters(WorkspaceAccount account) {
        int holders = permission.shareHolders(account.workspace.id()).size();
        return account.row != null && untouchedReserve(account.row.table(), holders) > 0;
    }

    private boolean othersBelowWant(ShareTable table) {
        return table.shares().entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(self)
                                        && entry.getValue().mark().isEmpty()
                                        && entry.getValue().part() < entry.getValue().want());
    }

    // Lent tokens stay within this router's part until they are returned. Otherwise the router that
    // took the part could fill up beside them.
    private static int lentPart(WorkspaceAccount account) {
        double part = account.lentTokens() / account.workspace.burst();
        return (int) Math.min(ShareTable.WHOLE, Math.ceil(part * ShareTable.WHOLE));
    }

    // Each router wants a little, so that first requests find tokens during an outage of the store.
    private int wantedPart(WorkspaceAccount account, int routers, Instant now) {
        int least = standbyPart(account, routers);
        if (needsOwner(account)) {
            return permission.isDesignatedOwner(account.workspace.id()) ? ShareTable.WHOLE : least;
        }
        double part = DEMAND_HEADROOM * account.demand(now) / account.workspace.rate();
        return Math.max(least, (int) (Math.min(MAX_WANTED_FRACTION, part) * ShareTable.WHOLE));
    }
}
