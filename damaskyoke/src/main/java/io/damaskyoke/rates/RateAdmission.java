package io.damaskyoke.rates;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.rates.RateAction;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.RateMachine;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.control.rates.WaitLimits;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.VmList;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * Lets requests in by their workspace's rate: feeds a {@link RateMachine} and carries out what it
 * decides. Its state belongs to the control thread.
 */
public final class RateAdmission implements Admission {
    private static final String PREFIX = "/rates/";
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration QUIET_TICK = Duration.ofMillis(250);
    private static final Duration WAITING_TICK = Duration.ofMillis(10);
    private static final long POLL_MILLIS = 50;

    private final ControlThread control;
    private final KeyValueStore store;
    private final VmList vmList;
    private final String prefix;
    private final Metrics metrics;
    private final Timeline timeline;
    private final VmId vm;
    private final Incarnation incarnation;
    private final RateSettings settings;
    private final InstantSource accrualClock;
    private final UnaryOperator<Set<VmId>> holderCandidates;
    private final Map<ExchangeId, Consumer<Optional<Refusal>>> verdicts = new HashMap<>();
    private RatePeers peers;
    private RateMachine machine;
    private boolean tickPlanned;

    /** Rates of this life of the router on this VM. */
    public RateAdmission(Parts parts, VmId vm, Incarnation incarnation, RateSettings settings) {
        this.control = parts.control();
        this.store = parts.store();
        this.vmList = parts.vmList();
        this.prefix = parts.storePrefix() + PREFIX;
        this.metrics = parts.metrics();
        this.timeline = parts.timeline();
        this.vm = vm;
        this.incarnation = incarnation;
        this.settings = settings;
        this.holderCandidates = parts.holderCandidates();
        this.accrualClock = parts.accrualClock();
    }

    /**
     * What rates need of their process.
     *
     * @param accrualClock the clock by which tokens accrue, which must not jump
     * @param holderCandidates returns those of the listed routers that may hold shares where not
     *     all of them do
     */
    public record Parts(
            ControlThread control,
            KeyValueStore store,
            VmList vmList,
            String storePrefix,
            InstantSource accrualClock,
            Metrics metrics,
            Timeline timeline,
            UnaryOperator<Set<VmId>> holderCandidates) {}

    /** Begins; {@code given} reaches the other routers, which reach this one at the address. */
    public void start(
            RatePeers given,
            String address,
            Map<WorkspaceId, Workspace> workspaces,
            Duration listPeriod) {
        start(given, address, workspaces, listPeriod, control.clock().instant());
    }

    /** The same in a process that began to run some time ago. */
    public void start(
            RatePeers given,
            String address,
            Map<WorkspaceId, Workspace> workspaces,
            Duration listPeriod,
            Instant began) {
        peers = given;
        machine = RateMachine.of(incarnation, vm, address, settings);
        machine.accrueBy(accrualClock);
        machine.setStartTime(began);
        configured(workspaces);
        tickAgain();
        control.every(listPeriod, this::readList);
        readList();
    }

    /** Takes in what operators have set, and asks for the shares at once; control thread. */
    public void configured(Map<WorkspaceId, Workspace> workspaces) {
        feed(new RateInput.WorkspacesConfigured(workspaces));
        feed(new RateInput.Tick());
    }

    @Override
    public void admit(Request request, Instant now, Consumer<Optional<Refusal>> verdict) {
        admit(request.id(), request.workspace(), request.tokens(), verdict);
    }

    /** Lets a request in for this many tokens, now or within the holding time, or refuses it. */
    public void admit(
            ExchangeId id,
            WorkspaceId workspace,
            long tokens,
            Consumer<Optional<Refusal>> verdict) {
        verdicts.put(id, verdict);
        feed(new RateInput.RequestArrived(id, workspace, tokens));
    }

    /** Lets a request in for this many tokens, now or within its wait, or refuses it. */
    public void admit(
            ExchangeId id,
            WorkspaceId workspace,
            long tokens,
            WaitLimits wait,
            Consumer<Optional<Refusal>> verdict) {
        verdicts.put(id, verdict);
        feed(new RateInput.RequestArrived(id, workspace, tokens, Optional.of(wait)));
    }

    @Override
    public void settle(Request request, long tokensUsed, Instant now) {
        settle(request.workspace(), request.tokens(), tokensUsed);
    }

    /** A request was charged the one and used the other. */
    public void settle(WorkspaceId workspace, long charged, long used) {
        feed(new RateInput.RequestSettled(workspace, charged, used));
    }

    /** Tokens that this router could spend now. */
    public double available(WorkspaceId workspace) {
        return machine.available(workspace);
    }

    /** Its part of the workspace's whole, in millionths. */
    public int part(WorkspaceId workspace) {
        return machine.part(workspace);
    }

    /** Gives all shares back, as far as that goes within the limit. */
    public void leave(Duration limit) {
        control.run(() -> feed(new RateInput.LeaveRequested()));
        long end = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() < end && !left()) {
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Passes on something that happened; control thread only. */
    public void feed(RateInput input) {
        if (machine == null) {
            return;
        }
        for (RateAction action : machine.on(input, control.clock().instant())) {
            carryOut(action);
        }
        tickSoonIfWaited();
    }

    // Where nobody waits a tick only looks at shares, which move within seconds; a look at each
    // workspace twenty times a second would be most of what an idle router costs.
    private void tickAgain() {
        feed(new RateInput.Tick());
        control.after(
                machine.needsFrequentTicks(control.clock().instant()) ? TICK : QUIET_TICK,
                this::tickAgain);
    }

    // Between two ticks tokens come in for those who wait, and half of an urgent wait goes by.
    private void tickSoonIfWaited() {
        if (!tickPlanned && machine.waitingRequests() > 0) {
            tickPlanned = true;
            control.after(WAITING_TICK, this::plannedTick);
        }
    }

    private void plannedTick() {
        tickPlanned = false;
        feed(new RateInput.Tick());
    }

    private boolean left() {
        return control.call(machine::holdsNoShares).toCompletableFuture().join();
    }

    private void carryOut(RateAction action) {
        if (action instanceof RateAction.AdmitRequest admit) {
            verdicts.remove(admit.id()).accept(Optional.empty());
        } else if (action instanceof RateAction.RefuseRequest refuse) {
            verdicts.remove(refuse.id()).accept(Optional.of(refuse.refusal()));
        } else if (action instanceof RateAction.ReadShares) {
            read();
        } else if (action instanceof RateAction.WriteShares write) {
            write(write);
        } else if (action instanceof RateAction.SendTokenRequest ask) {
            peers.ask(ask);
        } else if (action instanceof RateAction.SendTokenTransfer lend) {
            metrics.count("rate_loans");
            peers.lend(lend);
        }
    }

    private void write(RateAction.WriteShares write) {
        metrics.count("rate_share_writes");
        String key = prefix + write.workspace();
        Condition condition =
                write.revision() == 0
                        ? new Condition.Absent(key)
                        : new Condition.Unchanged(key, write.revision());
        store.commit(List.of(condition), List.of(new Write.Put(key, write.table().toJson(), 0)))
                .whenComplete((result, failure) -> control.run(() -> written(write, result)));
    }

    private void written(RateAction.WriteShares write, KeyValueStore.TxnResult result) {
        if (result == null) {
            read();
        } else if (result.committed()) {
            timeline.add(EventType.SHARE_MOVED, write.workspace().value());
            RateInput.ShareRow row = new RateInput.ShareRow(write.table(), result.revision());
            feed(new RateInput.ShareRowReceived(write.workspace(), row));
        } else {
            Map<WorkspaceId, RateInput.ShareRow> found = rows(result.found());
            peers.alsoKnown(found.values());
            found.forEach((id, row) -> feed(new RateInput.ShareRowReceived(id, row)));
        }
    }

    private void read() {
        Instant askedAt = control.clock().instant();
        store.list(prefix)
                .whenComplete((found, failure) -> control.run(() -> took(found, askedAt)));
    }

    private void took(KeyValueStore.Listing found, Instant askedAt) {
        if (found == null) {
            metrics.count("rate_share_read_failures");
            feed(new RateInput.SharesReadFailed());
            return;
        }
        Map<WorkspaceId, RateInput.ShareRow> rows = rows(found.entries());
        peers.known(rows.values());
        feed(new RateInput.SharesRead(rows, askedAt));
    }

    private Map<WorkspaceId, RateInput.ShareRow> rows(List<KeyValueStore.Entry> entries) {
        Map<WorkspaceId, RateInput.ShareRow> rows = new HashMap<>();
        for (KeyValueStore.Entry entry : entries) {
            try {
                WorkspaceId workspace = new WorkspaceId(entry.key().substring(prefix.length()));
                ShareTable table = ShareTable.parse(entry.value());
                rows.put(workspace, new RateInput.ShareRow(table, entry.modRevision()));
            } catch (IllegalArgumentException e) {
                metrics.count("rate_shares_unreadable");
            }
        }
        return rows;
    }

    /** The list of routers has changed; control thread. */
    public void listChanged() {
        if (machine != null) {
            readList();
        }
    }

    private void readList() {
        vmList.read().whenComplete((vms, failure) -> control.run(() -> listed(vms)));
    }

    private void listed(List<VmList.Vm> vms) {
        if (vms == null) {
            return;
        }
        List<VmList.Vm> routers =
                vms.stream().filter(vm -> vm.role() == VmList.Role.ROUTER).toList();
        peers.listed(routers);
        Set<VmId> ids = routers.stream().<VmId>map(VmList.Vm::id).collect(Collectors.toSet());
        feed(new RateInput.RoutersListed(ids, holderCandidates.apply(ids)));
    }
}
