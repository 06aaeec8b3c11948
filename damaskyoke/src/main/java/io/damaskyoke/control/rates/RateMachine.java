package io.damaskyoke.control.rates;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One router's part in keeping every workspace within its rate over all routers.
 *
 * <p>It spends its share from a bucket of its own, asks other routers for tokens where that is
 * short and lends to them where it is not, and lets its share follow its demand. Each request that
 * arrives leads to exactly one {@code Admit} or {@code Refuse}, at the latest at the first tick
 * after the holding time.
 */
public final class RateMachine implements StateMachine<RateInput, RateAction> {
    /** A workspace that others must found is looked for this often. */
    private static final Duration FOUNDING = Duration.ofMillis(200);

    private static final int MOST_HELD = 256;

    private final Incarnation self;
    private final VmId vm;
    private final RateSettings settings;
    private final SpendingRight right;
    private final ShareKeeper keeper;
    private final Borrowing borrowing;
    private final Owners owners;
    private final FairQueue queue;
    private final Lender lender;
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
        this.borrowing = new Borrowing(self, settings, keeper);
        this.owners = new Owners(self, settings, keeper);
        this.queue = new FairQueue(self, settings, right, keeper, borrowing);
        this.lender = new Lender(self, vm, settings, right, keeper);
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
            held += account.waiting();
        }
        return held;
    }

    /** True while ticks matter: requests wait, shares are being founded, or this router leaves. */
    public boolean busy(Instant now) {
        return held() > 0 || keeper.awaitsOwners(now) || keeper.leaving();
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
                                        && entry.getValue().waiting() == 0);
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
        queue.admit(account, now, actions);
    }

    private void tick(Instant now, List<RateAction> actions) {
        for (Account account : accounts.values()) {
            advance(account, now);
            owners.check(account, () -> ++counter, now, actions);
            if (right.usable(account, self, now)) {
                owners.askAgain(account, () -> ++counter, now, actions);
            }
            work(account, now, actions);
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
        if (first && right.usable(account, self, now) && account.take(arrived.tokens())) {
            actions.add(new RateAction.Admit(arrived.id()));
            return;
        }
        if (account.waiting() >= MOST_HELD) {
            actions.add(RateRefusals.tooMany(arrived.id()));
            return;
        }
        Held request = held(account, arrived, now);
        if (keeper.borrowsFromOwner(account) && right.usable(account, self, now)) {
            owners.ask(account, request, () -> ++counter, now, actions);
            return;
        }
        account.held.add(request);
        if (keeper.owns(account)) {
            // It may have to go before those who wait already.
            queue.admit(account, now, actions);
        }
        askForHeld(account, now, actions);
        queue.refuse(account, now, actions);
    }

    // Lets in who can be, asks others for what those who wait lack, and refuses who waits in vain.
    private void work(Account account, Instant now, List<RateAction> actions) {
        queue.admit(account, now, actions);
        askForHeld(account, now, actions);
        queue.refuse(account, now, actions);
    }

    private Held held(Account account, RateInput.Arrived arrived, Instant now) {
        Instant until = now.plus(hold(now));
        if (!keeper.owned(account) || arrived.within().isEmpty()) {
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
        return keeper.joining(now) ? settings.joiningHold() : settings.hold();
    }

    private void settle(RateInput.Settled settled, Instant now, List<RateAction> actions) {
        Account account = accounts.get(settled.workspace());
        if (account == null) {
            return;
        }
        advance(account, now);
        account.wanted(settled.used() - settled.charged(), now);
        account.bucket.giveBack(settled.charged() - settled.used());
        queue.admit(account, now, actions);
    }

    private void asked(RateInput.Asked asked, Instant now, List<RateAction> actions) {
        right.heard(asked.from(), now);
        Account account = accounts.get(asked.workspace());
        if (account == null) {
            return;
        }
        asked.spent().forEach(account::repaid);
        advance(account, now);
        if (asked.tokens() > 0 && lender.queues(account, asked, () -> ++counter, now)) {
            work(account, now, actions);
        }
        lender.answer(account, asked, now, actions);
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
        if (owners.answered(account, lent, () -> ++counter, now, actions)) {
            queue.admit(account, now, actions);
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
        queue.admit(account, now, actions);
        if (right.usable(account, self, now) && !keeper.borrowsFromOwner(account)) {
            borrowing.askOthers(account, () -> ++counter, now, actions);
        }
        queue.refuse(account, now, actions);
    }

    private void askForHeld(Account account, Instant now, List<RateAction> actions) {
        borrowing.tellSpent(account, actions);
        if (right.usable(account, self, now) && !keeper.borrowsFromOwner(account)) {
            borrowing.ask(account, () -> ++counter, now, actions);
        }
    }

    private void advance(Account account, Instant now) {
        account.advance(keeper.part(account), keeper.kept(account), now);
    }
}
