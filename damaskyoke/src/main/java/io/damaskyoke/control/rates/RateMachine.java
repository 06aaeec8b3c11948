package io.damaskyoke.control.rates;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * The state machine of one router that keeps every workspace within its rate over all routers.
 *
 * <p>It spends its share from a token bucket of its own, borrows tokens from other routers where
 * that is short, lends tokens where it is not, and adjusts its share to its demand. Each request
 * that arrives leads to exactly one {@code AdmitRequest} or {@code RefuseRequest}, at the latest at
 * the first tick after its queue timeout. If the timeout passes in a stall, the answers that
 * arrived meanwhile are read first.
 */
public final class RateMachine implements StateMachine<RateInput, RateAction> {
    /** How often the store is read for a workspace whose first table another router must write. */
    private static final Duration FOUNDING_READ_PERIOD = Duration.ofMillis(200);

    private static final int MAX_QUEUED = 256;

    private final Incarnation self;
    private final VmId vm;
    private final RateSettings settings;
    private final SpendingPermission permission;
    private final StallDetector stalls = new StallDetector();
    private final ShareBalancer balancer;
    private final BatchedBorrower batchedBorrower;
    private final PerRequestBorrower perRequestBorrower;
    private final QueueAdmission queueAdmission;
    private final TokenLender lender;
    private final Map<WorkspaceId, WorkspaceAccount> accounts = new TreeMap<>();
    private long lastNumber;
    private UnaryOperator<Instant> accrualTime = UnaryOperator.identity();
    private boolean readPending;
    private Instant nextReadAt = Instant.MIN;

    private RateMachine(Incarnation self, VmId vm, String address, RateSettings settings) {
        this.self = self;
        this.vm = vm;
        this.settings = settings;
        this.permission = new SpendingPermission(vm, settings);
        this.balancer = new ShareBalancer(self, vm, address, settings, permission);
        this.batchedBorrower = new BatchedBorrower(self, settings, balancer);
        this.perRequestBorrower = new PerRequestBorrower(self, settings, balancer);
        this.queueAdmission =
                new QueueAdmission(self, settings, permission, balancer, batchedBorrower, stalls);
        this.lender = new TokenLender(self, vm, settings, permission, balancer);
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
        balancer.recordRunning(at);
    }

    /**
     * Lets tokens accrue by that clock, which has the same begin and must not jump; to be called
     * before the first input.
     */
    public void accrueBy(InstantSource steadyClock) {
        accrualTime = any -> steadyClock.instant();
    }

    @Override
    public List<RateAction> on(RateInput input, Instant now) {
        List<RateAction> actions = new ArrayList<>();
        permission.recordRunning(now);
        stalls.recordRunning(now);
        balancer.recordRunning(now);
        if (input instanceof RateInput.RequestArrived arrived) {
            arrive(arrived, now, actions);
        } else if (input instanceof RateInput.RequestSettled settled) {
            settle(settled, now, actions);
        } else if (input instanceof RateInput.TokensRequested request) {
            handleTokenRequest(request, now, actions);
        } else if (input instanceof RateInput.TransferReceived transfer) {
            handleTransfer(transfer, now, actions);
        } else if (input instanceof RateInput.PeerMessageReceived message) {
            permission.recordContact(message.from(), now);
        } else if (input instanceof RateInput.RoutersListed listed) {
            permission.updateRouters(listed.routers(), listed.holderCandidates(), now);
        } else if (input instanceof RateInput.WorkspacesConfigured configured) {
            configure(configured.workspaces(), now);
        } else if (input instanceof RateInput.SharesRead read) {
            handleRead(read, now, actions);
        } else if (input instanceof RateInput.ShareRowReceived received) {
            handleRow(received, now, actions);
        } else if (input instanceof RateInput.SharesReadFailed) {
            readPending = false;
        } else if (input instanceof RateInput.LeaveRequested) {
            balancer.leave();
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
        return account == null ? 0 : balancer.part(account);
    }

    /** Returns the number of requests that wait for tokens. */
    public int waitingRequests() {
        int waiting = 0;
        for (WorkspaceAccount account : accounts.values()) {
            waiting += account.waitingRequests();
        }
        return waiting;
    }

    /**
     * Returns whether frequent ticks are needed: requests wait, shares are being created, or this
     * router is leaving.
     */
    public boolean needsFrequentTicks(Instant now) {
        return waitingRequests() > 0 || balancer.awaitsOwners(now) || balancer.isLeaving();
    }

    /** Returns whether this router holds no share any more, so that a leaving router may stop. */
    public boolean holdsNoShares() {
        return accounts.values().stream().allMatch(account -> balancer.part(account) == 0);
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
        nextReadAt = Instant.MIN;
    }

    // Different routers start the round robin at different lenders.
    private WorkspaceAccount newAccount(Workspace workspace, Instant now) {
        WorkspaceAccount account = new WorkspaceAccount(workspace, now, accrualTime);
        account.nextLender = vm.value().hashCode();
        return account;
    }

    private void handleRead(RateInput.SharesRead read, Instant now, List<RateAction> actions) {
        readPending = false;
        permission.recordRead(read.requestedAt(), now);
        accounts.forEach((id, account) -> applyRow(account, read.rows().get(id), now, actions));
        balancer.balance(List.copyOf(accounts.values()), now, actions);
    }

    // One row says nothing about the others, so it does not count as a read that lets shares be
    // spent again.
    private void handleRow(
            RateInput.ShareRowReceived received, Instant now, List<RateAction> actions) {
        WorkspaceAccount account = accounts.get(received.workspace());
        if (account != null) {
            applyRow(account, received.row(), now, actions);
            balancer.balance(List.copyOf(accounts.values()), now, actions);
        }
    }

    private void applyRow(
            WorkspaceAccount account,
            RateInput.ShareRow row,
            Instant now,
            List<RateAction> actions) {
        balancer.applyRow(account, row, now);
        advance(account, now);
        queueAdmission.admit(account, now, actions);
    }

    private void tick(Instant now, List<RateAction> actions) {
        for (WorkspaceAccount account : accounts.values()) {
            advance(account, now);
            perRequestBorrower.handleTimeouts(account, () -> ++lastNumber, now, actions);
            if (permission.maySpend(account, self, now)) {
                perRequestBorrower.retryOwner(account, () -> ++lastNumber, now, actions);
            }
            processQueue(account, now, actions);
        }
        balancer.balance(List.copyOf(accounts.values()), now, actions);
        if (!readPending && !now.isBefore(nextReadAt)) {
            readPending = true;
            nextReadAt = now.plus(readPeriod());
            actions.add(new RateAction.ReadShares());
        }
    }

    // A router without a share of a new workspace learns from the store who has one.
    private Duration readPeriod() {
        boolean awaitsFounder =
                accounts.values().stream()
                        .anyMatch(
                                account ->
                                        account.row == null && !balancer.shouldHoldShare(account));
        return awaitsFounder ? FOUNDING_READ_PERIOD : settings.readPeriod();
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
        boolean first = account.queue.isEmpty();
        if (first && permission.maySpend(account, self, now) && account.take(arrived.tokens())) {
            actions.add(new RateAction.AdmitRequest(arrived.id()));
            return;
        }
        if (account.waitingRequests() >= MAX_QUEUED) {
            actions.add(RateRefusals.queueFull(arrived.id()));
            return;
        }
        QueuedRequest request = queuedRequest(account, arrived, now);
        if (balancer.borrowsPerRequest(account) && permission.maySpend(account, self, now)) {
            perRequestBorrower.requestTokens(account, request, () -> ++lastNumber, now, actions);
            return;
        }
        account.queue.add(request);
        if (balancer.isOwner(account)) {
            // It may have to be admitted before the requests that already wait.
            queueAdmission.admit(account, now, actions);
        }
        requestTokens(account, now, actions);
        queueAdmission.refuseUnservable(account, now, actions);
    }

    // Admits the requests that have their tokens, requests tokens for the rest, and refuses those
    // that cannot get any.
    private void processQueue(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        queueAdmission.admit(account, now, actions);
        requestTokens(account, now, actions);
        queueAdmission.refuseUnservable(account, now, actions);
    }

    private QueuedRequest queuedRequest(
            WorkspaceAccount account, RateInput.RequestArrived arrived, Instant now) {
        Instant deadline = now.plus(queueTimeout(now));
        if (!balancer.needsOwner(account) || arrived.waitLimits().isEmpty()) {
            // All of them wait equally long and are admitted in the order of arrival.
            return QueuedRequest.fromCaller(
                    arrived.id(), ++lastNumber, arrived.tokens(), Instant.MIN, deadline);
        }
        WaitLimits wait = arrived.waitLimits().get();
        Instant longest = now.plus(wait.longest());
        return QueuedRequest.fromCaller(
                arrived.id(),
                ++lastNumber,
                arrived.tokens(),
                now.plus(wait.inTime()),
                longest.isBefore(deadline) ? deadline : longest);
    }

    private Duration queueTimeout(Instant now) {
        return balancer.isJoining(now) ? settings.startupQueueTimeout() : settings.queueTimeout();
    }

    private void settle(RateInput.RequestSettled settled, Instant now, List<RateAction> actions) {
        WorkspaceAccount account = accounts.get(settled.workspace());
        if (account == null) {
            return;
        }
        advance(account, now);
        account.recordDemand(settled.used() - settled.charged(), now);
        account.bucket.refund(settled.charged() - settled.used());
        queueAdmission.admit(account, now, actions);
    }

    private void handleTokenRequest(
            RateInput.TokensRequested request, Instant now, List<RateAction> actions) {
        permission.recordContact(request.from(), now);
        WorkspaceAccount account = accounts.get(request.workspace());
        if (account == null) {
            return;
        }
        request.spentTransfers().forEach(account::removeLent);
        advance(account, now);
        if (request.tokens() > 0 && lender.tryQueue(account, request, () -> ++lastNumber, now)) {
            processQueue(account, now, actions);
        }
        lender.answer(account, request, now, actions);
    }

    // A transfer counts from the time of the token request, not from its arrival. The lender's cap
    // is lowered for slightly longer than that, so that a delayed transfer is never spent twice. A
    // duplicate answer finds its lender no longer awaited.
    private void handleTransfer(
            RateInput.TransferReceived transfer, Instant now, List<RateAction> actions) {
        permission.recordContact(transfer.from(), now);
        WorkspaceAccount account = accounts.get(transfer.workspace());
        if (account == null) {
            return;
        }
        advance(account, now);
        if (perRequestBorrower.handleTransfer(
                account, transfer, () -> ++lastNumber, now, actions)) {
            queueAdmission.admit(account, now, actions);
            return;
        }
        boolean awaited =
                transfer.transferId().equals(account.requestId + '/' + transfer.from())
                        && account.awaitedLenders.remove(transfer.from());
        Instant expiry = account.requestedAt.equals(Instant.MIN) ? now : account.requestedAt;
        expiry = expiry.plus(settings.transferLifetime());
        if (awaited && now.isBefore(expiry) && transfer.tokens() > 0) {
            account.receivedTokens += transfer.tokens();
            account.borrow(transfer.from(), transfer.transferId(), transfer.tokens(), expiry);
        }
        queueAdmission.admit(account, now, actions);
        if (permission.maySpend(account, self, now) && !balancer.borrowsPerRequest(account)) {
            batchedBorrower.requestFromOthers(account, () -> ++lastNumber, now, actions);
        }
        queueAdmission.refuseUnservable(account, now, actions);
    }

    private void requestTokens(WorkspaceAccount account, Instant now, List<RateAction> actions) {
        batchedBorrower.reportSpent(account, actions);
        if (permission.maySpend(account, self, now) && !balancer.borrowsPerRequest(account)) {
            batchedBorrower.requestMissing(account, () -> ++lastNumber, now, actions);
        }
    }

    private void advance(WorkspaceAccount account, Instant now) {
        account.advance(balancer.part(account), balancer.reservedPart(account), now);
    }
}
