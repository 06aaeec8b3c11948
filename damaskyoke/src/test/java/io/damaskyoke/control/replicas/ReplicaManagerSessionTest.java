package io.damaskyoke.control.replicas;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.upstream.Engine;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ReplicaManagerSessionTest {
    private static final Model CUT = model("cut-sheet", "v1", null, 60);
    private static final Model EDGES = model("edges", "v1", "cut-sheet", 10);
    private static final Model TIDE = model("tide", "v1", null, 50);

    private final ReplicaManager manager = new ReplicaManager(ReplicaSettings.defaults());
    private final StringBuilder lines = new StringBuilder();
    private Instant now = Instant.EPOCH;
    private long requests;

    @Test
    void aWholeSession() {
        say("An agent starts: it waits, since an earlier process may have left orders behind");
        feed(new ReplicaInput.GrantsChanged(ModelGrants.all(7)));
        feed(configured(CUT, EDGES, TIDE));
        report(0);
        queueRequest("edges", 120);
        report(3);
        say("The adapter's base is loaded first, then the adapter; a second request joins");
        queueRequest("edges", 120);
        after(12, new ReplicaInput.Loaded(CUT.name()));
        after(1, new ReplicaInput.Loaded(EDGES.name()));
        say("No memory for tide while edges is in use; too short a deadline is refused");
        queueRequest("tide", 5);
        queueRequest("tide", 90);
        feed(new ReplicaInput.RequestFinished(EDGES.name()));
        feed(new ReplicaInput.RequestFinished(EDGES.name()));
        after(1, new ReplicaInput.Unloaded(EDGES.name()));
        after(1, new ReplicaInput.Unloaded(CUT.name()));
        say("The engine has no memory after all: refused, and loaded again after a pause");
        after(1, new ReplicaInput.LoadFailed(TIDE.name(), false));
        queueRequest("tide", 90);
        after(1, new ReplicaInput.Tick());
        queueRequest("tide", 90);
        say("The answer to a load is lost: its memory is counted until a report settles it");
        after(9, new ReplicaInput.LoadFailed(TIDE.name(), true));
        queueRequest("cut-sheet", 60);
        report(1, held(TIDE));
        report(3, held(TIDE));
        after(1, new ReplicaInput.Unloaded(TIDE.name()));
        after(12, new ReplicaInput.Loaded(CUT.name()));
        say("A new version is loaded once the running request on the old one has ended");
        feed(configured(model("cut-sheet", "v2", null, 60), EDGES, TIDE));
        queueRequest("cut-sheet", 60);
        feed(new ReplicaInput.RequestFinished(CUT.name()));
        after(1, new ReplicaInput.Unloaded(CUT.name()));
        after(12, new ReplicaInput.Loaded(CUT.name()));
        feed(new ReplicaInput.RequestFinished(CUT.name()));
        say(
                "The engine was restarted and holds nothing: a precautionary unload after three"
                        + " reports");
        report(3);
        report(3);
        report(3);
        after(1, new ReplicaInput.UnloadFailed(CUT.name()));
        report(3);
        say("Grants are received and withdrawn: models without a grant are unloaded and released");
        feed(
                new ReplicaInput.GrantsChanged(
                        ModelGrants.of(Map.of(TIDE.name(), 8L, CUT.name(), 9L))));
        queueRequest("tide", 60);
        queueRequest("edges", 60);
        after(9, new ReplicaInput.Loaded(TIDE.name()));
        feed(new ReplicaInput.GrantsChanged(ModelGrants.of(Map.of(CUT.name(), 9L))));
        feed(new ReplicaInput.RequestFinished(TIDE.name()));
        after(1, new ReplicaInput.Unloaded(TIDE.name()));
        Approvals.verify(lines);
    }

    @Test
    void anAdapterReportedBeforeTheModelsAreConfiguredIsServedWithoutALoad() {
        // Guards against an agent that restarts and receives the engine's report before the
        // configuration: the adapter must not be taken for one of another base, unloaded and loaded
        // again.
        feed(new ReplicaInput.GrantsChanged(ModelGrants.all(7)));
        report(0, held(CUT), held(EDGES));
        feed(configured(CUT, EDGES));
        report(3, held(CUT), held(EDGES));
        lines.setLength(0);
        queueRequest("edges", 1);
        assertTrue(lines.toString().contains("SendRequest["), lines.toString());
    }

    private void say(String what) {
        lines.append("\n# ").append(what).append('\n');
    }

    private void queueRequest(String model, long seconds) {
        ExchangeId id = new ExchangeId(Incarnation.of("r"), requests++);
        Instant deadline = now.plusSeconds(seconds);
        feed(
                new ReplicaInput.RequestQueued(
                        id, ModelName.of(model), deadline, WorkspaceId.of("kitchens")));
    }

    private void report(long seconds, Engine.Held... held) {
        long used = 0;
        for (Engine.Held each : held) {
            used += each.memoryBytes();
        }
        after(
                seconds,
                new ReplicaInput.EngineReported(
                        new Engine.Report(100, used, List.of(held), List.of(), List.of(), 0, 0)));
    }

    private void after(long seconds, ReplicaInput input) {
        now = now.plusSeconds(seconds);
        feed(input);
    }

    private void feed(ReplicaInput input) {
        lines.append(now.getEpochSecond()).append("s ").append(input).append('\n');
        for (ReplicaAction action : manager.on(input, now)) {
            lines.append("    ").append(action).append('\n');
        }
    }

    private static ReplicaInput configured(Model... models) {
        Map<ModelName, Model> named = new TreeMap<>();
        for (Model model : models) {
            named.put(model.name(), model);
        }
        return new ReplicaInput.ModelsConfigured(named);
    }

    private static Engine.Held held(Model model) {
        return new Engine.Held(model.name(), model.memoryBytes(), Optional.of(model.version()));
    }

    private static Model model(String name, String version, String base, long bytes) {
        return new Model(
                ModelName.of(name),
                version,
                PoolName.of("pool"),
                Optional.ofNullable(base).map(ModelName::of),
                bytes,
                1,
                Set.of());
    }
}
