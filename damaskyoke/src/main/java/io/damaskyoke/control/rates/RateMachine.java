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
import java.util.TreeMap;

/**
 * The state machine of one router that keeps every workspace within its rate over all routers.
 *
 * <p>It spends its share from a token bucket of its own, borrows tokens from other routers where
 * that is short, lends tokens where it is not, and adjusts its share to its demand. Each request
 * that arrives leads to exactly one {@code Admit} or {@code Refuse}, at the latest at the first
 * tick after its queue timeout.
 */
public final class RateMachine implements Machine<RateInput, RateAction> {
    /** How often the store is read for a workspace whose first table another router must write. */
    private static final Duration FOUNDING = Duration.ofMillis(200);

    private static final int MOST_HELD = 256;

    private final Incarnation self;
    private final VmId vm;
    private final RateSettings settings;
    private final SpendingPermission right;
    private final ShareBalancer keeper;
    private final BatchedBorrower borrowing;
    private final PerRequestBorrower owners;
    private final QueueAdmission queue;
    private final TokenLender lender;
    private final Map<WorkspaceId, WorkspaceAccount> accounts = new TreeMap<>();
    private long counter;
    private boolean reading;
    private Instant readAt = Instant.MIN;

    private RateMachine(Incarnation self, VmId vm, String address, RateSettings settings) {
        this.self = self;
        this.vm = vm;
        this.settings = settings;
        this.right = new SpendingPermission(vm, settings);
        this.keeper = new ShareBalancer(self, vm, address, settings, right);
        this.borrowing = new BatchedBorrower(self, settings, keeper);
        this.owners = new PerRequestBorrower(self, settings, keeper);
        this.queue = new QueueAdmission(self, settings, right, keeper, borrowing);
        this.lender = new TokenLender(self, vm, settings, right, keeper);
    }

    /**
     * Creates the state machine for this router incarnation on this VM, reached at this {@code
     * host:port}.
     */
    public static RateMachine of(Incarnation self, VmId vm, String address, RateSettings settings) {
        return new RateMachine(self, vm, address, settings);
    }

    /** Sets when this incarnation started to run, if that was before its first input. */
    public void setStartTime(Instant at) {
        keeper.recordRunning(at);
    }

    @Override
    public List<RateAction> on(RateInput input, Instant now) {
        List<RateAction> actions = new ArrayList<>();
        right.recordRunning(now);
        keeper.recordRunning(now);
        if (input instanceof RateInput.RequestArrived arrived) {
            arrive(arrived, now, actions);
        } else if (input instanceof RateInput.RequestSettled settled) {
            settle(settled, now, actions);
        } else if (input instanceof RateInput.TokensRequested asked) {
            handleTokenRequest(asked, now, actions);
        } else if (input instanceof RateInput.TransferReceived lent) {
            handleTransfer(lent, now, actions);
        } else if (input instanceof RateInput.PeerMessageReceived heard) {
            right.recordContact(heard.from(), now);
        } else if (input instanceof RateInput.RoutersListed listed) {
            right.updateRouters(listed.routers(), now);
        } else if (input instanceof RateInput.WorkspacesConfigured configured) {
            configure(configured.workspaces(), now);
        } else if (input instanceof RateInput.SharesRead read) {
            handleRead(read, now, actions);
        } else if (input instanceof RateInput.ShareRowReceived rowSeen) {
            handleRow(rowSeen, now, actions);
        } else if (input instanceof RateInput.SharesReadFailed) {
            reading = false;
        } else if (input instanceof RateInput.LeaveRequested) {
            keeper.leave();
        } else {
            tick(now, actions);
        }
        return actions;
    }

    /** Returns the tokens that this router could spend now. */
    public double available(WorkspaceId workspace) {
        WorkspaceAccount account = accounts.get(workspace);
        return account == null ? 0 : account.available();
    }

    /** Returns this router's part of the workspace, in {@link ShareTable#WHOLE}ths. */
    public int part(WorkspaceId workspace) {
        WorkspaceAccount account = accounts.get(workspace);
        return account == null ? 0 : keeper.part(account);
    }

    /** Returns the number of requests that wait for tokens. */
    public int waitingRequests() {
        int held = 0;
        for (WorkspaceAccount account : accounts.values()) {
            held += account.waitingRequests();
        }
        return held;
    }

    /**
     * Returns whether frequent ticks are needed: requests wait, shares are being created, or this
     * router is leaving.
     */
    public boolean needsFrequentTicks(Instant now) {
        return waitingRequests() > 0 || keeper.awaitsOwners(now) || keeper.isLeaving();
    }

    /** Returns whether this router holds no share any more, so that a leaving router may stop. */
    public boolean holdsNoShares() {
        return accounts.values().stream().allMatch(account -> keeper.part(account) == 0);
    }

    private void configure(Map<WorkspaceId, Workspace> workspaces, Instant now) {
        accounts.entrySet()
                .removeIf(
                        entry ->
                                !workspaces.containsKey(entry.getKey())
                                        && entry.getValue().waitingRequests() == 0);
        workspaces.forEach(
                (id, workspace) ->
                        accounts.computeIfAbsent(id, unused -> newAccount(workspace, now))
                                        .workspace =
                                workspace);
        accounts.values().forEach(account -> advance(account, now));
        readAt = Instant.MIN;
    }

    // Different routers start the round robin at different lenders.
    private WorkspaceAccount newAccount(Workspace workspace, Instant now) {
        WorkspaceAccount account = new WorkspaceAccount(workspace, now);
        account.turn = vm.value().hashCode();
        return account;
    }

    private void handleRead(RateInput.SharesRead read, Instant now, List<RateAction> actions) {
        reading = false;
        right.recordRead(read.requestedAt(), now);
        accounts.forEach((id, account) -> applyRow(account, read.rows().get(id), now, actions));
        keeper.balance(List.copyOf(accounts.values()), now, actions);
    }

    // One row says nothing about the others, so it does not count as a read that lets shares be
    // spent again.
    private void handleRow(RateInput.ShareRowReceived one, Instant now, List<RateAction> actions) {
        WorkspaceAccount account = accounts.get(one.workspace());
        if (account != null) {
            applyRow(account, one.row(), now, actions);
            keeper.balance(List.copyOf(accounts.values()), now, actions);
        }
    }

    private void applyRow(
            WorkspaceAccount account,
            RateInput.ShareRow row,
            Instant now,
            List<RateAction> actions) {
        keeper.applyRow(account, row, now);
        advance(account, now);
        queue.admit(account, now, actions);
    }

    private void tick(Instant now, List<RateAction> actions) {
        for (WorkspaceAccount account : accounts.values()) {
            advance(account, now);
            owners.handleTimeouts(account, () -> ++counter, now, actions);
            if (right.maySpend(account, self, now)) {
                owners.retryOwner(account, () -> ++counter, now, actions);
            }
            processQueue(account, now, actions);
        }
        keeper.balance(List.copyOf(accounts.values()), now, actions);
        if (!reading && !now.isBefore(readAt)) {
            reading = true;
            readAt = now.plus(readPeriod());
            actions.add(new RateAction.ReadShares());
        }
    }

    // A router without a share of a new workspace learns from the store who has one.
    private Duration readPeriod() {
        boolean awaits =
                accounts.values().stream()
                        .anyMatch(
                                account -> account.row == null && !keeper.shouldHoldShare(account));
        return awaits ? FOUNDING : settings.readPeriod();
    }

    private void arrive(RateInput.RequestArrived arrived, Instant now, List<RateAction> actions) {
        WorkspaceAccount account = accounts.get(arrived.workspace());
        if (account == null) {
            actions.add(RateRefusals.notConfigured(arrived.id()));
            return;
        }
        advance(account, now);
        account.recordDemand(arrived.tokens(), now);
        if (arrived.tokens() > account.workspace.burst()) {
            actions.add(RateRefusals.exceedsBurst(arrived.id()));
            return;
        }
        boolean first = account.held.isEmpty();
        if (first && right.maySpend(account, self, now) && account.take(arrived.tokens())) {
            actions.add(new RateAction.AdmitRequest(arrived.id()));
            return;
        }
        if (account.waitingRequests() >= MOST_HELD) {
            actions.add(RateRefusals.queueFull(arrived.id()));
            return;
        }
        QueuedRequest request = queuedRequest(account, arrived, now);
        if (keeper.borrowsPerRequest(account) && right.maySpend(account, self, now)) {
            owners.requestTokens(account, request, () -> ++counter, now, actions);
            return;
        }
        account.held.add(request);
        if (keeper.isOwner(account)) {
            // It may have to be admitted before the requests that already wait.
            queue.admit(account, now, actions);
        }
        requestTokens(account, now, actions);
        queue.refuseUnservable(account, now, actions);
    }

    // Admits the requests that have their tokens, requests tokens for the rest, and refuses those
    // that cannot get any.
    private void processQueue(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        queue.admit(account, now, actions);
        requestTokens(account, now, actions);
        queue.refuseUnservable(account, now, actions);
    }

    private QueuedRequest queuedRequest(
            WorkspaceAccount account, RateInput.RequestArrived arrived, Instant now) {
        Instant until = now.plus(queueTimeout(now));
        if (!keeper.needsOwner(account) || arrived.waitLimits().isEmpty()) {
            // All of them wait equally long and are admitted in the order of arrival.
            return QueuedRequest.fromCaller(
                    arrived.id(), ++counter, arrived.tokens(), Instant.MIN, until);
        }
        WaitLimits wait = arrived.waitLimits().get();
        Instant longest = now.plus(wait.longest());
        return QueuedRequest.fromCaller(
                arrived.id(),
                ++counter,
                arrived.tokens(),
                now.plus(wait.inTime()),
                longest.isBefore(until) ? until : longest);
    }

    private Duration queueTimeout(Instant now) {
        return keeper.isJoining(now) ? settings.startupQueueTimeout() : settings.queueTimeout();
    }

    private void settle(RateInput.RequestSettled settled, Instant now, List<RateAction> actions) {
        WorkspaceAccount account = accounts.get(settled.workspace());
        if (account == null) {
            return;
        }
        advance(account, now);
        account.recordDemand(settled.used() - settled.charged(), now);
        account.bucket.refund(settled.charged() - settled.used());
        queue.admit(account, now, actions);
    }

    private void handleTokenRequest(
            RateInput.TokensRequested asked, Instant now, List<RateAction> actions) {
        right.recordContact(asked.from(), now);
        WorkspaceAccount account = accounts.get(asked.workspace());
        if (account == null) {
            return;
        }
        asked.spentTransfers().forEach(account::removeLent);
        advance(account, now);
        if (asked.tokens() > 0 && lender.tryQueue(account, asked, () -> ++counter, now)) {
            processQueue(account, now, actions);
        }
        lender.answer(account, asked, now, actions);
    }

    // A transfer counts from the time of the token request, not from its arrival. The lender's cap
    // is lowered for slightly longer than that, so that a delayed transfer is never spent twice. A
    // duplicate answer finds its lender no longer awaited.
    private void handleTransfer(
            RateInput.TransferReceived lent, Instant now, List<RateAction> actions) {
        right.recordContact(lent.from(), now);
        WorkspaceAccount account = accounts.get(lent.workspace());
        if (account == null) {
            return;
        }
        advance(account, now);
        if (owners.handleTransfer(account, lent, () -> ++counter, now, actions)) {
            queue.admit(account, now, actions);
            return;
        }
        boolean awaited =
                lent.transferId().equals(account.ask + '/' + lent.from())
                        && account.unanswered.remove(lent.from());
        Instant until = account.askedAt.equals(Instant.MIN) ? now : account.askedAt;
        until = until.plus(settings.transferLifetime());
        if (awaited && now.isBefore(until) && lent.tokens() > 0) {
            account.brought += lent.tokens();
            account.borrow(lent.from(), lent.transferId(), lent.tokens(), until);
        }
        queue.admit(account, now, actions);
        if (right.maySpend(account, self, now) && !keeper.borrowsPerRequest(account)) {
            borrowing.requestFromOthers(account, () -> ++counter, now, actions);
        }
        queue.refuseUnservable(account, now, actions);
    }

    private void requestTokens(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        borrowing.reportSpent(account, actions);
        if (right.maySpend(account, self, now) && !keeper.borrowsPerRequest(account)) {
            borrowing.requestMissing(account, () -> ++counter, now, actions);
        }
    }

    private void advance(WorkspaceAccount account, Instant now) {
        account.advance(keeper.part(account), keeper.reservedPart(account), now);
    }
}
