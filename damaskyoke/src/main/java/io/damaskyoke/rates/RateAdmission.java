package io.damaskyoke.router;

import io.damaskyoke.control.Control;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.rates.RateAction;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.RateMachine;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.node.Node;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.VmList;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Lets requests in by their workspace's rate: feeds a {@link RateMachine} and carries out what it
 * decides. Its state belongs to the control thread.
 */
final class RateAdmission implements Admission {
    private static final String PREFIX = "/rates/";
    private static final Duration TICK = Duration.ofMillis(50);
    private static final long POLL_MILLIS = 50;

    private final Control control;
    private final KeyValueStore store;
    private final VmList vmList;
    private final String prefix;
    private final Metrics metrics;
    private final Timeline timeline;
    private final Node node;
    private final Map<ExchangeId, Consumer<Optional<Refusal>>> verdicts = new HashMap<>();
    private RatePeers peers;
    private RateMachine machine;

    RateAdmission(Node node) {
        this.control = node.control();
        this.store = node.store();
        this.vmList = node.vmList();
        this.prefix = node.storePrefix() + PREFIX;
        this.metrics = node.metrics();
        this.timeline = node.timeline();
        this.node = node;
    }

    /** Begins; {@code given} reaches the other routers, which reach this one at the address. */
    void start(RatePeers given, String address, Configuration now, Duration listPeriod) {
        peers = given;
        machine = RateMachine.of(node.incarnation(), node.vm(), address, RateSettings.usual());
        configured(now);
        control.every(TICK, () -> feed(new RateInput.Tick()));
        control.every(listPeriod, this::readList);
        readList();
    }

    /** Takes in what operators have set; control thread. */
    void configured(Configuration now) {
        feed(new RateInput.Configured(now.workspaces()));
    }

    @Override
    public void admit(Request request, Instant now, Consumer<Optional<Refusal>> verdict) {
        verdicts.put(request.id(), verdict);
        feed(new RateInput.Arrived(request.id(), request.workspace(), request.tokens()));
    }

    @Override
    public void settle(Request request, long tokensUsed, Instant now) {
        feed(new RateInput.Settled(request.workspace(), request.tokens(), tokensUsed));
    }

    /** Gives all shares back, as far as that goes within the limit. */
    void leave(Duration limit) {
        control.run(() -> feed(new RateInput.Leave()));
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
    void feed(RateInput input) {
        if (machine == null) {
            return;
        }
        for (RateAction action : machine.on(input, control.clock().instant())) {
            carryOut(action);
        }
    }

    private boolean left() {
        return control.ask(machine::left).toCompletableFuture().join();
    }

    private void carryOut(RateAction action) {
        if (action instanceof RateAction.Admit admit) {
            verdicts.remove(admit.id()).accept(Optional.empty());
        } else if (action instanceof RateAction.Refuse refuse) {
            verdicts.remove(refuse.id()).accept(Optional.of(refuse.refusal()));
        } else if (action instanceof RateAction.Read) {
            read();
        } else if (action instanceof RateAction.Write write) {
            write(write);
        } else if (action instanceof RateAction.Ask ask) {
            peers.ask(ask);
        } else if (action instanceof RateAction.Lend lend) {
            metrics.count("rate_loans");
            peers.lend(lend);
        }
    }

    private void write(RateAction.Write write) {
        metrics.count("rate_share_writes");
        String key = prefix + write.workspace();
        Condition condition =
                write.revision() == 0
                        ? new Condition.Absent(key)
                        : new Condition.Unchanged(key, write.revision());
        store.commit(List.of(condition), List.of(new Write.Put(key, write.table().toJson(), 0)))
                .whenComplete((result, failure) -> control.run(() -> written(write, result)));
    }

    private void written(RateAction.Write write, KeyValueStore.TxnResult result) {
        if (result != null && result.committed()) {
            timeline.add(EventType.SHARE_MOVED, write.workspace().value());
        }
        read();
    }

    private void read() {
        Instant askedAt = control.clock().instant();
        store.list(prefix)
                .whenComplete((found, failure) -> control.run(() -> took(found, askedAt)));
    }

    private void took(KeyValueStore.Listing found, Instant askedAt) {
        if (found == null) {
            metrics.count("rate_share_read_failures");
            feed(new RateInput.NotRead());
            return;
        }
        Map<WorkspaceId, RateInput.Row> rows = new HashMap<>();
        for (KeyValueStore.Entry entry : found.entries()) {
            try {
                WorkspaceId workspace = WorkspaceId.of(entry.key().substring(prefix.length()));
                ShareTable table = ShareTable.parse(entry.value());
                rows.put(workspace, new RateInput.Row(table, entry.modRevision()));
            } catch (IllegalArgumentException e) {
                metrics.count("rate_shares_unreadable");
            }
        }
        peers.known(rows.values());
        feed(new RateInput.Read(rows, askedAt));
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
        feed(
                new RateInput.Listed(
                        routers.stream().<VmId>map(VmList.Vm::id).collect(Collectors.toSet())));
    }
}
