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

/** Lets one router's shares follow its demand, and gives back the shares of those that are gone. */
final class ShareKeeper {
    private static final double HEADROOM = 1.25;

    /**
     * A share follows demand up to here; the rest is borrowed. What is lost with a router is less.
     */
    private static final double MOST_WANTED = 0.334;

    /** After this, all routers that started together are on the list. */
    private static final Duration SETTLING = Duration.ofSeconds(3);

    /** The owner of a workspace has this long to take its part before the others take theirs. */
    private static final Duration STANDBY_PAUSE = Duration.ofSeconds(3);

    /** How long after its start a router may still be about to get its shares. */
    private static final Duration JOINING = Duration.ofSeconds(2);

    /** How long after a start of all routers an owner may still be about to take its part. */
    private static final Duration OWNERS_JOINING = Duration.ofSeconds(4);

    private static final int JITTER_MILLIS = 1_000;

    /** A bucket that was nearly full for so long is likely to stay so. */
    private static final Duration PLENTY_FOR = Duration.ofSeconds(1);

    /** From here on an even share holds a few of the largest usual requests. */
    private static final double EVEN_SHARE_TOKENS = 6_000;

    /** All routers but the owner together have no more than one part of so many. */
    private static final int STANDBY_FRACTION = 4;

    private static final int STEP = ShareTable.WHOLE / 8;
    private static final int LEAST_MOVE = ShareTable.WHOLE / 20;
    private static final long FLEET_WRITES_PER_SECOND = 100;
    private static final Duration WRITE_LIMIT = Duration.ofSeconds(10);

    private final Incarnation self;
    private final VmId vm;
    private final String address;
    private final RateSettings settings;
    private final SpendingRight right;
    private final Map<String, Instant> marks = new HashMap<>();
    private final Set<WorkspaceId> filled = new HashSet<>();
    private Instant next = Instant.MIN;
    private Instant began;
    private int turn;
    private boolean leaving;

    ShareKeeper(
            Incarnation self, VmId vm, String address, RateSettings settings, SpendingRight right) {
        this.self = self;
        this.vm = vm;
        this.address = address;
        this.settings = settings;
        this.right = right;
    }

    /** This life runs; nobody else spends on this VM from the first call on. */
    void running(Instant now) {
        if (began == null) {
            began = now;
        }
    }

    /** How long this life has run. */
    Duration age(Instant now) {
        return Duration.between(began, now);
    }

    /** True while it may still be about to get its shares, and be short for that reason. */
    boolean joining(Instant now) {
        return age(now).compareTo(JOINING) < 0;
    }

    /** True while owners that started along with it may still be about to take their parts. */
    boolean awaitsOwners(Instant now) {
        return age(now).compareTo(OWNERS_JOINING) < 0;
    }

    /** True if this router should have a share. */
    boolean home(Account account) {
        return right.homes(account.workspace.id()).contains(vm);
    }

    /** True if the store shows a share of ours. */
    boolean joined(Account account) {
        return account.row != null && account.row.table().share(self).isPresent();
    }

    /**
     * True if one router is to have most of the workspace: an even share would be too small, or
     * most routers have none. Those would ask the few that have, each for a part of what they lack,
     * and what is left over would lie at dozens of routers, too little at each for a request.
     */
    boolean owned(Account account) {
        int homes = right.homes(account.workspace.id()).size();
        boolean few = homes < right.routerCount();
        boolean small = account.workspace.burst() / homes < EVEN_SHARE_TOKENS;
        return settings.owned() && (few || small);
    }

    /** True if this router has most of the workspace, and the others ask it. */
    boolean owns(Account account) {
        return settings.owned() && part(account) > ShareTable.WHOLE / 2;
    }

    /** The other router that has most of the workspace, if one has. */
    Optional<VmId> otherOwner(Account account) {
        if (!settings.owned() || account.row == null) {
            return Optional.empty();
        }
        return account.row.table().owner().filter(owner -> !owner.equals(vm));
    }

    /** True if this router asks others for each request: one of them has most, or should have. */
    boolean borrowsFromOwner(Account account) {
        return (otherOwner(account).isPresent() || owned(account)) && !owns(account);
    }

    /**
     * The others that may have tokens, the largest part first.
     *
     * <p>A router that starts while the store is out has never seen a share. It has none to spend,
     * so nothing can be spent twice; but without loans from those that have, it would refuse every
     * request for as long as the outage lasts.
     */
    List<VmId> lenders(Account account) {
        if (account.row == null) {
            return settings.owned()
                    ? right.otherHomes(account.workspace.id())
                    : right.otherRouters();
        }
        return account.row.table().shares().values().stream()
                .filter(share -> !share.vm().equals(vm) && share.part() > 0)
                .filter(share -> share.mark().isEmpty())
                .sorted(Comparator.comparingInt(ShareTable.Share::part).reversed())
                .map(ShareTable.Share::vm)
                .toList();
    }

    boolean leaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
        next = Instant.MIN;
    }

    /** Our part as it counts now: a lowering counts at once, a rise once the store shows it. */
    int part(Account account) {
        if (account.row == null) {
            return 0;
        }
        int stored = account.row.table().part(self);
        return account.lowering == null ? stored : Math.min(stored, account.lowering.part());
    }

    /**
     * What of our burst may not be spent: the next life on this VM will find it. Less is kept once
     * the store shows it; more from the sending on, since that write may land at any time.
     */
    int kept(Account account) {
        if (account.row == null) {
            return 0;
        }
        int stored = account.row.table().share(self).map(ShareTable.Share::kept).orElse(0);
        return account.raise == null ? stored : Math.max(stored, account.raise.kept());
    }

    /**
     * Takes in what the store has. A lowering whose answer was lost may still land as long as the
     * row has the revision that it was meant for, and counts until it can no longer.
     */
    void seen(Account account, RateInput.Row row, Instant now) {
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
        row.table().share(self).ifPresent(share -> fill(account, share, now));
        row.table().shares().values().stream()
                .map(ShareTable.Share::mark)
                .filter(mark -> !mark.isEmpty())
                .forEach(mark -> marks.putIfAbsent(mark, now));
    }

    // Nobody has spent this part of the burst. Without it, the workspace of a new ticket would be
    // refused within its rate until its buckets have filled, and so would all workspaces after a
    // restart of all routers.
    private void fill(Account account, ShareTable.Share own, Instant now) {
        if (filled.add(account.workspace.id())) {
            account.advance(part(account), kept(account), now);
            double fresh = own.fresh() / (double) ShareTable.WHOLE;
            account.bucket.giveBack(fresh * account.workspace.burst());
        }
    }

    /**
     * Writes what should change, within this router's part of the store's calls. It goes on where
     * it stopped: from the front each time, the last workspaces' shares would hardly ever move.
     */
    void balance(List<Account> accounts, Instant now, List<RateAction> actions) {
        for (int step = 0; step < accounts.size(); step++) {
            Account account = accounts.get((turn + step) % accounts.size());
            ShareTable wanted = account.writing(now) ? null : wanted(account, now);
            if (wanted == null) {
                continue;
            }
            boolean urgent = !joined(account) || releases(account, now) || strays(account, now);
            if (urgent || !now.isBefore(next)) {
                next = now.plus(gap(wanted));
                turn = (turn + step + 1) % accounts.size();
                write(account, wanted, now, actions);
            }
        }
    }

    private void write(Account account, ShareTable wanted, Instant now, List<RateAction> actions) {
        long revision = account.row == null ? 0 : account.row.revision();
        if (wanted.part(self) < part(account)) {
            account.lowering = new Account.Lowering(wanted.part(self), revision);
            account.advance(part(account), kept(account), now);
        }
        int keeps = wanted.share(self).map(ShareTable.Share::kept).orElse(0);
        if (keeps > kept(account)) {
            account.raise = new Account.Raise(keeps, revision);
            account.advance(part(account), keeps, now);
        }
        account.written(revision, now.plus(WRITE_LIMIT));
        actions.add(new RateAction.Write(account.workspace.id(), wanted, revision));
    }

    private Duration gap(ShareTable table) {
        Duration even = Duration.ofMillis(1000L * table.shares().size() / FLEET_WRITES_PER_SECOND);
        return even.compareTo(settings.writeGap()) > 0 ? even : settings.writeGap();
    }

    /** The table as it should be, or null if it may stay. */
    private ShareTable wanted(Account account, Instant now) {
        if (!right.fresh(now)) {
            return null;
        }
        if (standsBack(account, now)) {
            return null;
        }
        Set<VmId> homes = right.homes(account.workspace.id());
        boolean stays = !leaving && homes.contains(vm);
        if (account.row == null) {
            return stays ? joined(ShareTable.unfounded(self), account, homes, 0) : null;
        }
        ShareTable table = account.row.table();
        if (leaving || strays(account, now)) {
            return withdrawn(account, table, homes.size());
        }
        if (table.share(self).isEmpty()) {
            return stays ? joined(table, account, homes, grown(account, now)) : null;
        }
        return moved(account, table, table.share(self).get(), now);
    }

    // At a start of all routers each would write its small part into each row. The owners, whose
    // parts everybody waits for, would lose one race after the other.
    private boolean standsBack(Account account, Instant now) {
        Duration pause = STANDBY_PAUSE.plusMillis(Math.floorMod(vm.hashCode(), JITTER_MILLIS));
        return owned(account)
                && !joined(account)
                && !right.ownerOf(account.workspace.id())
                && age(now).compareTo(pause) < 0;
    }

    private ShareTable joined(ShareTable table, Account account, Set<VmId> homes, double grown) {
        if (!owned(account)) {
            return table.join(self, vm, address, homes.size(), grown);
        }
        int standby = standbyPart(homes.size());
        boolean owner = right.ownerOf(account.workspace.id());
        int part = owner ? ShareTable.WHOLE - standby * (homes.size() - 1) : standby;
        return table.joinWith(self, vm, address, part, grown);
    }

    // What routers have beside the owner, so that small requests find something when it is lost.
    private static int standbyPart(int homes) {
        return ShareTable.WHOLE / (STANDBY_FRACTION * homes);
    }

    private ShareTable moved(Account account, ShareTable table, ShareTable.Share own, Instant now) {
        int want = want(account, table.shares().size(), now);
        if (!own.mark().isEmpty()) {
            return table.set(self, own.part(), want);
        }
        if (releases(account, now)) {
            return table.keep(self, 0);
        }
        ShareTable without = withoutGone(table, account, now);
        ShareTable next = without != null ? without : dealt(account, table, own, want);
        return next != null || !keepsMore(account, own, now)
                ? next
                : table.keep(self, Math.min(own.part() / 2, inBucket(account)));
    }

    // At a start routers see only a part of the list, and more of them take shares than should
    // have one. Left there, a workspace's tokens would lie in parts at all of them again, and where
    // nobody has most of them, all others ask each of them in turn.
    private boolean strays(Account account, Instant now) {
        Duration settling = SETTLING.plusMillis(Math.floorMod(vm.hashCode(), JITTER_MILLIS));
        return !home(account) && joined(account) && age(now).compareTo(settling) >= 0;
    }

    // What is lent stays until it is back. A router that is asked all the time has always lent
    // something; the rest goes at once.
    private ShareTable withdrawn(Account account, ShareTable table, int homes) {
        Optional<ShareTable.Share> own = table.share(self);
        if (own.isEmpty()) {
            return null;
        }
        int lent = lentPart(account);
        if (lent == 0) {
            return table.withdrawn(self, reserve(table, homes));
        }
        boolean much = own.get().part() - lent > LEAST_MOVE;
        return much ? table.dealt(self, lent, 0, reserve(table, homes)) : null;
    }

    private static int inBucket(Account account) {
        double part = account.bucket.tokens() / account.workspace.burst();
        return (int) (Math.max(0, Math.min(1, part)) * ShareTable.WHOLE);
    }

    // Whoever waits, here or at a router that borrows, needs what is kept now; a next life on this
    // VM has to do without.
    private boolean releases(Account account, Instant now) {
        return account.wasShort(now) && kept(account) > 0;
    }

    // Unspent for a second, half of the burst can be promised to the next life. A router that is
    // killed would else take it along, and with all routers killed at once every workspace would
    // be refused within its rate for seconds. What routers beside an owner have isn't worth a
    // write.
    private boolean keepsMore(Account account, ShareTable.Share own, Instant now) {
        boolean worthKeeping = !owned(account) || owns(account);
        return settings.keeps()
                && worthKeeping
                && account.held.isEmpty()
                && account.fullSince != null
                && !now.isBefore(account.fullSince.plus(PLENTY_FOR))
                && kept(account) < own.part() / 4
                && own.part() > 0;
    }

    // Of a full burst, what has come in since this life began: nobody spent on this VM since then.
    private double grown(Account account, Instant now) {
        double seconds = Duration.between(began, now).toMillis() / 1000.0;
        return Math.min(1, seconds * account.workspace.rate() / account.workspace.burst());
    }

    private ShareTable withoutGone(ShareTable table, Account account, Instant now) {
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
            if (!now.isBefore(since.plus(settings.takeBack()))) {
                return table.remove(entry.getKey());
            }
        }
        return null;
    }

    private ShareTable dealt(Account account, ShareTable table, ShareTable.Share own, int want) {
        int target = Math.max(table.target(self, want), lentPart(account));
        boolean give = target < own.part() && othersWant(table);
        int reserve = reserve(table, right.homes(account.workspace.id()).size());
        ShareTable dealt = table.dealt(self, give ? target : own.part(), want, reserve);
        boolean wantChanged = Math.abs(want - own.want()) > STEP;
        int moved = 0;
        for (Map.Entry<Incarnation, ShareTable.Share> entry : dealt.shares().entrySet()) {
            moved += Math.max(0, entry.getValue().part() - table.part(entry.getKey()));
        }
        return wantChanged || moved > LEAST_MOVE ? dealt : null;
    }

    // A router that founds a table and takes the whole takes it along when it dies: the others,
    // which had nothing yet, then refuse the workspace within its rate until the share is taken
    // back. So what is untouched waits for those on the list that have not joined.
    private static int reserve(ShareTable table, int homes) {
        return table.shares().size() < homes ? table.untouched() : 0;
    }

    /**
     * True while routers on the list have still to take their untouched part, and can lend then.
     */
    boolean awaitsOthers(Account account) {
        int homes = right.homes(account.workspace.id()).size();
        return account.row != null && reserve(account.row.table(), homes) > 0;
    }

    private boolean othersWant(ShareTable table) {
        return table.shares().entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(self)
                                        && entry.getValue().mark().isEmpty()
                                        && entry.getValue().part() < entry.getValue().want());
    }

    // What is lent stays within our part until it is back, or its taker could fill up beside it.
    private static int lentPart(Account account) {
        double part = account.lentOut() / account.workspace.burst();
        return (int) Math.min(ShareTable.WHOLE, Math.ceil(part * ShareTable.WHOLE));
    }

    // Everybody wants a little, so that first requests find something where the store is out.
    private int want(Account account, int routers, Instant now) {
        int least = standbyPart(routers);
        if (owned(account)) {
            return right.ownerOf(account.workspace.id()) ? ShareTable.WHOLE : least;
        }
        double part = HEADROOM * account.demand(now) / account.workspace.rate();
        return Math.max(least, (int) (Math.min(MOST_WANTED, part) * ShareTable.WHOLE));
    }
}
