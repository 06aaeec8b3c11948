package io.damaskyoke.control.rates;

import io.damaskyoke.control.Machine;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One router's part in keeping every workspace within its rate over all routers.
 *
 * <p>It spends its share from a bucket of its own, asks other routers for tokens where that is
 * short and lends to them where it is not, and lets its share follow its demand. Each request that
 * arrives leads to exactly one {@code Admit} or {@code Refuse}, at the latest at the first tick
 * after the holding time.
 */
public final class RateMachine implements Machine<RateInput, RateAction> {
    private static final double LENDER_MARGIN = 1.1;

    /** A workspace that others must found is looked for this often. */
    private static final Duration FOUNDING = Duration.ofMillis(200);

    private static final int MOST_HELD = 256;

    /** How long after its start a router may still be about to get its shares, and be short. */
    private static final Duration JOINING = Duration.ofSeconds(4);

    private final Incarnation self;
    private final VmId vm;
    private final RateSettings settings;
    private final SpendingRight right;
    private final ShareKeeper keeper;
    private final Borrowing borrowing;
    private final Owners owners;
    private final Map<WorkspaceId, Account> accounts = new TreeMap<>();
    private long counter;
    private boolean reading;
    private Instant readAt = Instant.MIN;

    private RateMachine(Incarnation self, VmId vm, String address, RateSettings settings) {
        this.self = self;
        this.vm = vm;
        this.settings = settings;
        this.right = new SpendingRight(vm, settings);
        this.keeper = new ShareKeeper(self, vm, address, settings, right);
        this.borrowing = new Borrowing(self, vm, settings, right, keeper);
        this.owners = new Owners(self, settings, keeper);
    }

    /** A machine for this life of the router on this VM, reached at this {@code host:port}. */
    public static RateMachine of(Incarnation self, VmId vm, String address, RateSettings settings) {
        return new RateMachine(self, vm, address, settings);
    }

    /** Tells when this life began to run, if that was before its first input. */
    public void began(Instant at) {
        keeper.running(at);
    }

    @Override
    public List<RateAction> on(RateInput input, Instant now) {
        List<RateAction> actions = new ArrayList<>();
        right.awake(now);
        keeper.running(now);
        if (input instanceof RateInput.Arrived arrived) {
            arrive(arrived, now, actions);
        } else if (input instanceof RateInput.Settled settled) {
            settle(settled, now, actions);
        } else if (input instanceof RateInput.Asked asked) {
            asked(asked, now, actions);
        } else if (input instanceof RateInput.Lent lent) {
            lent(lent, now, actions);
        } else if (input instanceof RateInput.Heard heard) {
            right.heard(heard.from(), now);
        } else if (input instanceof RateInput.Listed listed) {
            right.listed(listed.routers(), now);
        } else if (input instanceof RateInput.Configured configured) {
            configured(configured.workspaces(), now);
        } else if (input instanceof RateInput.Read read) {
            read(read, now, actions);
        } else if (input instanceof RateInput.RowSeen rowSeen) {
            rowSeen(rowSeen, now, actions);
        } else if (input instanceof RateInput.NotRead) {
            reading = false;
        } else if (input instanceof RateInput.Leave) {
            keeper.leave();
        } else {
            tick(now, actions);
        }
        return actions;
    }

    /** Tokens that this router could spend now, for operators to see. */
    public double available(WorkspaceId workspace) {
        Account account = accounts.get(workspace);
        return account == null ? 0 : account.available();
    }

    /** Its part of the workspace's whole, in {@link ShareTable#WHOLE}ths. */
    public int part(WorkspaceId workspace) {
        Account account = accounts.get(workspace);
        return account == null ? 0 : keeper.part(account);
    }

    /** Requests that wait for tokens here. */
    public int held() {
        int held = 0;
        for (Account account : accounts.values()) {
            held += account.held.size() + account.asksOfOwner.size();
        }
        return held;
    }

    /** True once a router that leaves has given all its shares back. */
    public boolean left() {
        return accounts.values().stream().allMatch(account -> keeper.part(account) == 0);
    }

    private void configured(Map<WorkspaceId, Workspace> workspaces, Instant now) {
        accounts.entrySet()
                .removeIf(
                        entry ->
                                !workspaces.containsKey(entry.getKey())
                                        && entry.getValue().held.isEmpty());
        workspaces.forEach(
                (id, workspace) ->
                        accounts.computeIfAbsent(id, unused -> account(workspace, now)).workspace =
                                workspace);
        accounts.values().forEach(account -> advance(account, now));
        readAt = Instant.MIN;
    }

    // Routers that borrow begin with different lenders.
    private Account account(Workspace workspace, Instant now) {
        Account account = new Account(workspace, now);
        account.turn = vm.value().hashCode();
        return account;
    }

    private void read(RateInput.Read read, Instant now, List<RateAction> actions) {
        reading = false;
        right.read(read.askedAt(), now);
        accounts.forEach((id, account) -> seen(account, read.rows().get(id), now, actions));
        keeper.balance(List.copyOf(accounts.values()), now, actions);
    }

    // One row says nothing of the others, so it isn't a read that lets shares be spent again.
    private void rowSeen(RateInput.RowSeen one, Instant now, List<RateAction> actions) {
        Account account = accounts.get(one.workspace());
        if (account != null) {
            seen(account, one.row(), now, actions);
            keeper.balance(List.copyOf(accounts.values()), now, actions);
        }
    }

    private void seen(Account account, RateInput.Row row, Instant now, List<RateAction> actions) {
        keeper.seen(account, row, now);
        advance(account, now);
        admitHeld(account, now, actions);
    }

    private void tick(Instant now, List<RateAction> actions) {
        for (Account account : accounts.values()) {
            advance(account, now);
            owners.check(account, keeper.age(now).compareTo(JOINING) < 0, now);
            if (usable(account, now)) {
                owners.askAgain(account, () -> ++counter, now, actions);
            }
            admitHeld(account, now, actions);
            askForHeld(account, now, actions);
            refuseHeld(account, now, actions);
        }
        keeper.balance(List.copyOf(accounts.values()), now, actions);
        if (!reading && !now.isBefore(readAt)) {
            reading = true;
            readAt = now.plus(readPeriod());
            actions.add(new RateAction.Read());
        }
    }

    // A router without a share of a new workspace learns from the store who has one.
    private Duration readPeriod() {
        boolean awaits =
                accounts.values().stream()
                        .anyMatch(account -> account.row == null && !keeper.home(account));
        return awaits ? FOUNDING : settings.readPeriod();
    }

    private void arrive(RateInput.Arrived arrived, Instant now, List<RateAction> actions) {
        Account account = accounts.get(arrived.workspace());
        if (account == null) {
            actions.add(RateRefusals.notConfigured(arrived.id()));
            return;
        }
        advance(account, now);
        account.wanted(arrived.tokens(), now);
        if (arrived.tokens() > account.workspace.burst()) {
            actions.add(RateRefusals.tooLarge(arrived.id()));
            return;
        }
        boolean first = account.held.isEmpty();
        if (first && usable(account, now) && account.take(arrived.tokens())) {
            actions.add(new RateAction.Admit(arrived.id()));
            return;
        }
        if (account.held.size() + account.asksOfOwner.size() >= MOST_HELD) {
            actions.add(RateRefusals.tooMany(arrived.id()));
            return;
        }
        Held request = held(arrived, now);
        if (owners.asks(account, now) && usable(account, now)) {
            owners.ask(account, request, ++counter, now, actions);
            return;
        }
        account.held.add(request);
        admitHeld(account, now, actions);
        askForHeld(account, now, actions);
        refuseHeld(account, now, actions);
    }

    private Held held(RateInput.Arrived arrived, Instant now) {
        Instant until = now.plus(hold(now));
        if (!settings.owned() || arrived.within().isEmpty()) {
            // All of them wait equally long, and go in the order in which they came.
            return Held.own(arrived.id(), ++counter, arrived.tokens(), Instant.MIN, until);
        }
        Wait wait = arrived.within().get();
        Instant longest = now.plus(wait.longest());
        return Held.own(
                arrived.id(),
                ++counter,
                arrived.tokens(),
                now.plus(wait.inTime()),
                longest.isBefore(until) ? until : longest);
    }

    private Duration hold(Instant now) {
        boolean young = keeper.age(now).compareTo(JOINING) < 0;
        return young ? settings.joiningHold() : settings.hold();
    }

    private boolean joining(Account account, Instant now) {
        return !keeper.joined(account) && keeper.age(now).compareTo(JOINING) < 0;
    }

    private void settle(RateInput.Settled settled, Instant now, List<RateAction> actions) {
        Account account = accounts.get(settled.workspace());
        if (account == null) {
            return;
        }
        advance(account, now);
        account.wanted(settled.used() - settled.charged(), now);
        account.bucket.giveBack(settled.charged() - settled.used());
        admitHeld(account, now, actions);
    }

    // A request for tokens that comes twice is answered once. A second loan under the same name
    // would
    // take the first one's place, and the lender would refill what the borrower still holds.
    private void asked(RateInput.Asked asked, Instant now, List<RateAction> actions) {
        right.heard(asked.from(), now);
        Account account = accounts.get(asked.workspace());
        if (account == null) {
            return;
        }
        asked.spent().forEach(account::repaid);
        advance(account, now);
        if (asked.tokens() == 0) {
            return;
        }
        String loan = asked.ask() + '/' + vm;
        if (account.hasLent(loan) || account.held.holds(loan)) {
            return;
        }
        if (asked.within().isPresent() && keeper.owns(account)) {
            queue(account, asked, loan, now, actions);
            return;
        }
        long tokens = usable(account, now) ? spare(account, asked.tokens(), now) : 0;
        if (tokens < asked.tokens()) {
            account.shortAt = now;
        }
        if (tokens > 0) {
            account.lend(loan, tokens, loanEnd(now));
        }
        actions.add(new RateAction.Lend(asked.from(), asked.workspace(), tokens, loan));
    }

    private Instant loanEnd(Instant now) {
        return now.plusNanos((long) (settings.loan().toNanos() * LENDER_MARGIN));
    }

    // The others' requests wait here in one line with this router's own. Lent out in parts as they
    // ask, the last tokens of a burst would lie at several routers, too few at each for a request.
    private void queue(
            Account account,
            RateInput.Asked asked,
            String loan,
            Instant now,
            List<RateAction> actions) {
        Held.Borrower borrower = new Held.Borrower(asked.from(), loan);
        Held request = Held.asked(borrower, ++counter, asked.tokens(), asked.within().get(), now);
        account.wanted(asked.tokens(), now);
        account.held.add(request);
        admitHeld(account, now, actions);
        askForHeld(account, now, actions);
        refuseHeld(account, now, actions);
        if (account.held.holds(loan)) {
            actions.add(
                    new RateAction.Lend(
                            asked.from(), asked.workspace(), 0, loan, true, Duration.ZERO));
        }
    }

    private static long spare(Account account, long wanted, Instant now) {
        if (!account.held.isEmpty()) {
            return 0;
        }
        double own = account.demand(now) * Borrowing.LOOK_AHEAD_SECONDS;
        double spare = account.own() - Math.min(own, account.own() / 2);
        return Math.max(0, (long) Math.min(wanted, spare));
    }

    // A loan counts from our asking, not from its coming: the lender's cap is lowered for a little
    // longer than that, so that a loan which was long on its way is never spent a second time.
    // An answer that comes twice finds its lender no longer awaited.
    private void lent(RateInput.Lent lent, Instant now, List<RateAction> actions) {
        right.heard(lent.from(), now);
        Account account = accounts.get(lent.workspace());
        if (account == null) {
            return;
        }
        advance(account, now);
        if (owners.answered(account, lent, now, actions)) {
            return;
        }
        boolean awaited =
                lent.loan().equals(account.ask + '/' + lent.from())
                        && account.unanswered.remove(lent.from());
        Instant until = account.askedAt.equals(Instant.MIN) ? now : account.askedAt;
        until = until.plus(settings.loan());
        if (awaited && now.isBefore(until) && lent.tokens() > 0) {
            account.brought += lent.tokens();
            account.borrow(lent.from(), lent.loan(), lent.tokens(), until);
        }
        admitHeld(account, now, actions);
        if (usable(account, now)) {
            borrowing.askOthers(account, () -> ++counter, now, actions);
        }
        refuseHeld(account, now, actions);
    }

    private void admitHeld(Account account, Instant now, List<RateAction> actions) {
        if (!usable(account, now)) {
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
        account.lend(to.loan(), request.tokens(), loanEnd(now));
        actions.add(
                new RateAction.Lend(to.vm(), account.workspace.id(), request.tokens(), to.loan()));
        return true;
    }

    private void refuseHeld(Account account, Instant now, List<RateAction> actions) {
        if (keeper.owns(account) && usable(account, now)) {
            refuseLate(account, now, actions);
            return;
        }
        boolean noneToAsk = borrowing.noneToAsk(account);
        boolean hopeless =
                usable(account, now)
                        && (noneToAsk || borrowing.nothingCame(account))
                        && !filling(account, now)
                        && !joining(account, now);
        for (Held request : account.held.inOrder(now)) {
            boolean askedFor = noneToAsk || request.number() <= account.askedUpTo;
            boolean due = !now.isBefore(request.until()) || hopeless && askedFor;
            if (due && account.held.remove(request)) {
                refuse(account, request, now, actions);
                admitHeld(account, now, actions);
            }
        }
    }

    private void refuse(Account account, Held request, Instant now, List<RateAction> actions) {
        if (usable(account, now)) {
            refuse(account, request, missingTime(account, request), actions);
        } else {
            refuseUnconfirmed(account, request, actions);
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
                refuse(account, request, wait, actions);
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

    private void refuse(Account account, Held request, Duration wait, List<RateAction> actions) {
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

    private static void refuseUnconfirmed(Account account, Held request, List<RateAction> actions) {
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

    private void askForHeld(Account account, Instant now, List<RateAction> actions) {
        borrowing.tellSpent(account, actions);
        if (usable(account, now)) {
            borrowing.ask(account, () -> ++counter, now, actions);
        }
    }

    private void advance(Account account, Instant now) {
        account.advance(keeper.part(account), keeper.kept(account), now);
    }

    private boolean usable(Account account, Instant now) {
        if (account.row == null) {
            return right.neverRead();
        }
        Optional<ShareTable> table = Optional.ofNullable(account.row).map(RateInput.Row::table);
        boolean alone = table.map(found -> found.shares().size() <= 1).orElse(true);
        boolean marked =
                table.flatMap(found -> found.share(self))
                        .map(share -> !share.mark().isEmpty())
                        .orElse(false);
        return table.isPresent() && !marked && right.holds(alone, now);
    }
}
