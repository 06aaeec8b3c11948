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
    private static final double HEADROOM = 1.25;

    /**
     * Largest part of the whole to which a share follows demand; the rest is borrowed. This limits
     * what is lost with a router.
     */
    private static final double MOST_WANTED = 0.334;

    /** Time after which all routers that started together are on the list. */
    private static final Duration SETTLING = Duration.ofSeconds(3);

    /**
     * Head start in which the owner of a workspace takes its part before the others take theirs.
     */
    private static final Duration STANDBY_PAUSE = Duration.ofSeconds(3);

    /** How long after its start a router may still be about to get its shares. */
    private static final Duration JOINING = Duration.ofSeconds(2);

    /** How long after a start of all routers an owner may still be about to take its part. */
    private static final Duration OWNERS_JOINING = Duration.ofSeconds(4);

    private static final int JITTER_MILLIS = 1_000;

    /** A bucket that was nearly full for this long is likely to stay so. */
    private static final Duration PLENTY_FOR = Duration.ofSeconds(1);

    /** An even share of this many tokens holds a few of the largest usual requests. */
    private static final double EVEN_SHARE_TOKENS = 6_000;

    /** All routers but the owner together hold at most this fraction (1/n) of the whole. */
    private static final int STANDBY_FRACTION = 4;

    private static final int STEP = ShareTable.WHOLE / 8;
    private static final int LEAST_MOVE = ShareTable.WHOLE / 20;
    private static final long FLEET_WRITES_PER_SECOND = 100;
    private static final Duration WRITE_LIMIT = Duration.ofSeconds(10);

    private final Incarnation self;
    private final VmId vm;
    private final String address;
    private final RateSettings settings;
    private final SpendingPermission right;
    private final Map<String, Instant> marks = new HashMap<>();
    private final Set<WorkspaceId> filled = new HashSet<>();
    private Instant next = Instant.MIN;
    private Instant began;
    private int turn;
    private boolean leaving;

    ShareBalancer(
            Incarnation self,
            VmId vm,
            String address,
            RateSettings settings,
            SpendingPermission right) {
        this.self = self;
        this.vm = vm;
        this.address = address;
        this.settings = settings;
        this.right = right;
    }

    /** Records that this incarnation runs. Nobody else spends on this VM from the first call on. */
    void recordRunning(Instant now) {
        if (began == null) {
            began = now;
        }
    }

    /** Returns how long this incarnation has run. */
    Duration age(Instant now) {
        return Duration.between(began, now);
    }

    /**
     * Returns whether this router may still be about to get its shares, and lack tokens for that
     * reason.
     */
    boolean isJoining(Instant now) {
        return age(now).compareTo(JOINING) < 0;
    }

    /**
     * Returns whether owners that started along with this router may still be about to take their
     * parts.
     */
    boolean awaitsOwners(Instant now) {
        return age(now).compareTo(OWNERS_JOINING) < 0;
    }

    /** Returns whether this router should hold a share. */
    boolean shouldHoldShare(WorkspaceAccount account) {
        return right.shareHolders(account.workspace.id()).contains(vm);
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
        int homes = right.shareHolders(account.workspace.id()).size();
        boolean few = homes < right.routerCount();
        boolean small = account.workspace.burst() / homes < EVEN_SHARE_TOKENS;
        return settings.usesOwners() && (few || small);
    }

    /**
     * Returns whether this router is the owner: it holds most of the workspace, and the others
     * request tokens from it.
     */
    boolean isOwner(WorkspaceAccount account) {
        return settings.usesOwners() && part(account) > ShareTable.WHOLE / 2;
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
                    ? right.otherShareHolders(account.workspace.id())
                    : right.otherRouters();
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
        next = Instant.MIN;
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
        return account.lowering == null ? stored : Math.min(stored, account.lowering.part());
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
        return account.raise == null ? stored : Math.max(stored, account.raise.kept());
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
        if (account.lowering != null && account.lowering.revision() != row.revision()) {
            account.lowering = null;
        }
        if (account.raise != null && account.raise.revision() != row.revision()) {
            account.raise = null;
        }
        row.table().share(self).ifPresent(share -> addFreshTokens(account, share, now));
        row.table().shares().values().stream()
                .map(ShareTable.Share::mark)
                .filter(mark -> !mark.isEmpty())
                .forEach(mark -> marks.putIfAbsent(mark, now));
    }

    // Nobody has spent this part of the burst. Without it, a new workspace would be refused within
    // its rate until its buckets have filled, and so would all workspaces after a restart of all
    // routers.
    private void addFreshTokens(WorkspaceAccount account, ShareTable.Share own, Instant now) {
        if (filled.add(account.workspace.id())) {
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
            WorkspaceAccount account = accounts.get((turn + step) % accounts.size());
            ShareTable wanted = account.hasWriteInFlight(now) ? null : nextTable(account, now);
            if (wanted == null) {
                continue;
            }
            boolean urgent =
                    !hasShare(account)
                            || shouldReleaseReserve(account, now)
                            || holdsSurplusShare(account, now);
            if (urgent || !now.isBefore(next)) {
                next = now.plus(writeInterval(wanted));
                turn = (turn + step + 1) % accounts.size();
                write(account, wanted, now, actions);
            }
        }
    }

    private void write(
            WorkspaceAccount account, ShareTable wanted, Instant now, List<RateAction> actions) {
        long revision = account.row == null ? 0 : account.row.revision();
        if (wanted.part(self) < part(account)) {
            account.lowering = new WorkspaceAccount.PendingDecrease(wanted.part(self), revision);
            account.advance(part(account), reservedPart(account), now);
        }
        int keeps = wanted.share(self).map(ShareTable.Share::kept).orElse(0);
        if (keeps > reservedPart(account)) {
            account.raise = new WorkspaceAccount.PendingReserve(keeps, revision);
            account.advance(part(account), keeps, now);
        }
        account.recordWrite(revision, now.plus(WRITE_LIMIT));
        actions.add(new RateAction.WriteShares(account.workspace.id(), wanted, revision));
    }

    private Duration writeInterval(ShareTable table) {
        Duration even = Duration.ofMillis(1000L * table.shares().size() / FLEET_WRITES_PER_SECOND);
        return even.compareTo(settings.writeInterval()) > 0 ? even : settings.writeInterval();
    }

    /** Returns the table as it should be, or null if it may stay. */
    private ShareTable nextTable(WorkspaceAccount account, Instant now) {
        if (!right.isReadRecent(now)) {
            return null;
        }
        if (yieldsToOwner(account, now)) {
            return null;
        }
        Set<VmId> homes = right.shareHolders(account.workspace.id());
        boolean stays = !leaving && homes.contains(vm);
        if (account.row == null) {
            return stays ? joinTable(ShareTable.empty(self), account, homes, 0) : null;
        }
        ShareTable table = account.row.table();
        if (leaving || holdsSurplusShare(account, now)) {
            return withdrawOwnShare(account, table, homes.size());
        }
        if (table.share(self).isEmpty()) {
            return stays ? joinTable(table, account, homes, accruedFraction(account, now)) : null;
        }
        return adjusted(account, table, table.share(self).get(), now);
    }

    // At a start of all routers each would write its small part into each row, and the owners,
    // whose parts all routers wait for, would lose one compare-and-set race after another.
    private boolean yieldsToOwner(WorkspaceAccount account, Instant now) {
        Duration pause = STANDBY_PAUSE.plusMillis(Math.floorMod(vm.hashCode(), JITTER_MILLIS));
        return needsOwner(account)
                && !hasShare(account)
                && !right.isDesignatedOwner(account.workspace.id())
                && age(now).compareTo(pause) < 0;
    }

    private ShareTable joinTable(
            ShareTable table, WorkspaceAccount account, Set<VmId> homes, double grown) {
        if (!needsOwner(account)) {
            return table.join(self, vm, address, homes.size(), grown);
        }
        int standby = standbyPart(homes.size());
        boolean owner = right.isDesignatedOwner(account.workspace.id());
        int part = owner ? ShareTable.WHOLE - standby * (homes.size() - 1) : standby;
        return table.joinWithPart(self, vm, address, part, grown);
    }

    // The part of a router that is not the owner, so that small requests find some tokens when the
    // owner is lost.
    private static int standbyPart(int homes) {
        return ShareTable.WHOLE / (STANDBY_FRACTION * homes);
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
        ShareTable next = without != null ? without : redistributed(account, table, own, want);
        return next != null || !shouldReserve(account, own, now)
                ? next
                : table.withKept(self, Math.min(own.part() / 2, bucketPart(account)));
    }

    // At a start routers see only a part of the list, and more of them take shares than should hold
    // one. If they kept them, the tokens of a workspace would be scattered over all of them, and
    // without an owner each router would ask every other in turn.
    private boolean holdsSurplusShare(WorkspaceAccount account, Instant now) {
        Duration settling = SETTLING.plusMillis(Math.floorMod(vm.hashCode(), JITTER_MILLIS));
        return !shouldHoldShare(account) && hasShare(account) && age(now).compareTo(settling) >= 0;
    }

    // Lent tokens stay in the part until they are returned. A router that gets token requests all
    // the time has always lent something, so the rest is withdrawn at once.
    private ShareTable withdrawOwnShare(WorkspaceAccount account, ShareTable table, int homes) {
        Optional<ShareTable.Share> own = table.share(self);
        if (own.isEmpty()) {
            return null;
        }
        int lent = lentPart(account);
        if (lent == 0) {
            return table.withdrawn(self, untouchedReserve(table, homes));
        }
        boolean much = own.get().part() - lent > LEAST_MOVE;
        return much ? table.redistributed(self, lent, 0, untouchedReserve(table, homes)) : null;
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
                && account.held.isEmpty()
                && account.fullSince != null
                && !now.isBefore(account.fullSince.plus(PLENTY_FOR))
                && reservedPart(account) < own.part() / 4
                && own.part() > 0;
    }

    // The fraction of a full burst that accrued since this incarnation started: nobody spent on
    // this VM since then.
    private double accruedFraction(WorkspaceAccount account, Instant now) {
        double seconds = Duration.between(began, now).toMillis() / 1000.0;
        return Math.min(1, seconds * account.workspace.rate() / account.workspace.burst());
    }

    private ShareTable markOrRemoveGone(ShareTable table, WorkspaceAccount account, Instant now) {
        for (Map.Entry<Incarnation, ShareTable.Share> entry : table.shares().entrySet()) {
            ShareTable.Share share = entry.getValue();
            boolean other = !entry.getKey().equals(self);
            if (!other || !right.seemsGone(share.vm(), now)) {
                continue;
            }
            if (share.mark().isEmpty()) {
                String mark = self.value() + '#' + account.row.revision();
                return table.mark(entry.getKey(), mark);
            }
            Instant since = marks.getOrDefault(share.mark(), now);
            if (!now.isBefore(since.plus(settings.reclaimDelay()))) {
                return table.remove(entry.getKey());
            }
        }
        return null;
    }

    private ShareTable redistributed(
            WorkspaceAccount account, ShareTable table, ShareTable.Share own, int want) {
        int target = Math.max(table.target(self, want), lentPart(account));
        boolean give = target < own.part() && othersBelowWant(table);
        int reserve = untouchedReserve(table, right.shareHolders(account.workspace.id()).size());
        ShareTable dealt = table.redistributed(self, give ? target : own.part(), want, reserve);
        boolean wantChanged = Math.abs(want - own.want()) > STEP;
        int moved = 0;
        for (Map.Entry<Incarnation, ShareTable.Share> entry : dealt.shares().entrySet()) {
            moved += Math.max(0, entry.getValue().part() - table.part(entry.getKey()));
        }
        return wantChanged || moved > LEAST_MOVE ? dealt : null;
    }

    // A router that creates a table and takes the whole would take it along when it dies: the
    // others, which had nothing yet, would refuse the workspace within its rate until the share is
    // reclaimed. So the untouched part is reserved for listed routers that have not joined.
    private static int untouchedReserve(ShareTable table, int homes) {
        return table.shares().size() < homes ? table.untouched() : 0;
    }

    /**
     * Returns whether routers on the list have still to take their untouched part, and can lend
     * then.
     */
    boolean awaitsJoiningRouters(WorkspaceAccount account) {
        int homes = right.shareHolders(account.workspace.id()).size();
        return account.row != null && untouchedReserve(account.row.table(), homes) > 0;
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
        int least = standbyPart(routers);
        if (needsOwner(account)) {
            return right.isDesignatedOwner(account.workspace.id()) ? ShareTable.WHOLE : least;
        }
        double part = HEADROOM * account.demand(now) / account.workspace.rate();
        return Math.max(least, (int) (Math.min(MOST_WANTED, part) * ShareTable.WHOLE));
    }
}
