package io.damaskyoke.control.replicas;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.junit.jupiter.api.Test;

class IdleUnloadTest {
    private static final ModelName CUT = ModelName.of("cut");
    private static final Model MODEL =
            new Model(CUT, "v1", PoolName.of("p"), Optional.empty(), 10, 1, Set.of());

    private final ReplicaManager manager = new ReplicaManager(ReplicaSettings.defaults());

    @Test
    void aModelUnusedForAHalfLifeIsUnloaded() {
        loadAndUse();
        feed(100, new ReplicaInput.RequestFinished(CUT));
        assertTrue(feed(500, new ReplicaInput.Tick()).isEmpty());
        List<ReplicaAction> actions = feed(700, new ReplicaInput.Tick());
        assertEquals(List.of(new ReplicaAction.UnloadModel(CUT, 7)), actions);
    }

    @Test
    void aModelInUseStaysLoadedHoweverLongTheAnswerTakes() {
        loadAndUse();
        assertTrue(feed(5_000, new ReplicaInput.Tick()).isEmpty());
    }

    private void loadAndUse() {
        feed(0, new ReplicaInput.GrantsChanged(ModelGrants.all(7)));
        feed(0, new ReplicaInput.ModelsConfigured(Map.of(CUT, MODEL)));
        Engine.Report empty = new Engine.Report(100, 0, List.of(), List.of(), List.of(), 0, 0);
        feed(3, new ReplicaInput.EngineReported(empty));
        ExchangeId request = new ExchangeId(Incarnation.of("r"), 1);
        Instant deadline = Instant.EPOCH.plusSeconds(60);
        feed(3, new ReplicaInput.RequestQueued(request, CUT, deadline, WorkspaceId.of("w")));
        feed(5, new ReplicaInput.Loaded(CUT));
    }

    private List<ReplicaAction> feed(long second, ReplicaInput input) {
        return manager.on(input, Instant.EPOCH.plusSeconds(second));
    }
}
