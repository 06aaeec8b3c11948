package io.damaskyoke.mixed;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.rates.RateAction;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.control.rates.RateMachine;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One router's rates: the real machine over the shared store and messages that go astray. */
final class RateRouter {
    static final String PREFIX = "t/rates/";
    static final Duration TICK = Duration.ofMillis(100);

    private final ControlThread control;
    private final KeyValueStore store;
    private final Outside outside;
    private final Incarnation incarnation;
    private final VmId vm;
    private final RateMachine machine;
    private final Map<ExchangeId, Waiting> waiting = new HashMap<>();
    private long counter;

    private record Waiting(long tokens, Instant answerBy) {}

    /** What the router meets. */
    interface Outside {
        void send(VmId to, RateInput message);

        void admitted(RateRouter by, WorkspaceId workspace, long tokens);
    }

    RateRouter(
            ControlThread control,
            KeyValueStore store,
            Outside outside,
            Incarnation incarnation,
            VmId vm) {
        this.control = control;
        this.store = store;
        this.outside = outside;
        this.incarnation = incarnation;
        this.vm = vm;
        this.machine = RateMachine.of(incarnation, vm, vm.value() + ":1", RateSettings.defaults());
        control.every(TICK, () -> feed(new RateInput.Tick()));
    }

    void configured(Configuration configuration) {
        feed(new RateInput.WorkspacesConfigured(configuration.workspaces()));
    }

    void listed(Set<VmId> routers) {
        control.run(() -> feed(new RateInput.RoutersListed(routers)));
    }

    void received(RateInput message) {
        control.run(() -> feed(message));
    }

    void arrive(WorkspaceId workspace, long tokens) {
        ExchangeId id = new ExchangeId(incarnation, ++counter);
        control.run(
                () -> {
                    Instant answerBy =
                            now().plus(RateSettings.defaults().queueTimeout()).plus(TICK);
                    waiting.put(id, new Waiting(tokens, answerBy));
                    feed(new RateInput.RequestArrived(id, workspace, tokens));
                });
    }

    void settle(WorkspaceId workspace, long charged, long used) {
        feed(new RateInput.RequestSettled(workspace, charged, used));
    }

    /** The requests that should have had their answer by now. */
    List<ExchangeId> late() {
        return waiting.entrySet().stream()
                .filter(entry -> entry.getValue().answerBy().isBefore(now()))
                .map(Map.Entry::getKey)
                .toList();
    }

    ControlThread control() {
        return control;
    }

    private Instant now() {
        return control.clock().instant();
    }

    private void feed(RateInput input) {
        machine.on(input, now()).forEach(this::carryOut);
    }

    private void carryOut(RateAction action) {
        if (action instanceof RateAction.AdmitRequest admit) {
            outside.admitted(this, MixedWorld.WORKSPACE, waiting.remove(admit.id()).tokens());
        } else if (action instanceof RateAction.RefuseRequest refuse) {
            waiting.remove(refuse.id());
        } else if (action instanceof RateAction.ReadShares) {
            read();
        } else if (action instanceof RateAction.WriteShares write) {
            write(write);
        } else if (action instanceof RateAction.SendTokenRequest ask) {
            outside.send(
                    ask.to(),
                    new RateInput.TokensRequested(
                            vm,
                            ask.workspace(),
                            ask.tokens(),
                            ask.requestId(),
                            ask.spentTransfers()));
        } else if (action instanceof RateAction.SendTokenTransfer lend) {
            outside.send(
                    lend.to(),
                    new RateInput.TransferReceived(
                            vm, lend.workspace(), lend.tokens(), lend.transferId()));
        }
    }

    private void write(RateAction.WriteShares write) {
        String key = PREFIX + write.workspace();
        Condition condition =
                write.revision() == 0
                        ? new Condition.Absent(key)
                        : new Condition.Unchanged(key, write.revision());
        store.commit(List.of(condition), List.of(new Write.Put(key, write.table().toJson(), 0)))
                .whenComplete((result, failure) -> control.run(this::read));
    }

    private void read() {
        Instant askedAt = now();
        store.list(PREFIX)
                .whenComplete((found, failure) -> control.run(() -> took(found, askedAt)));
    }

    private void took(KeyValueStore.Listing found, Instant askedAt) {
        if (found == null) {
            feed(new RateInput.SharesReadFailed());
            return;
        }
        Map<WorkspaceId, RateInput.ShareRow> rows = new HashMap<>();
        for (KeyValueStore.Entry entry : found.entries()) {
            WorkspaceId workspace = WorkspaceId.of(entry.key().substring(PREFIX.length()));
            ShareTable table = ShareTable.parse(entry.value());
            rows.put(workspace, new RateInput.ShareRow(table, entry.modRevision()));
        }
        feed(new RateInput.SharesRead(rows, askedAt));
    }
}
