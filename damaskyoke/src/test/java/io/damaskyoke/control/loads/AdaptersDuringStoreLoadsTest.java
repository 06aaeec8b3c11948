package io.damaskyoke.control.loads;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which of two full upstreams loads a model that only the weight store has. */
class AdaptersDuringStoreLoadsTest {
    private static final UpstreamId ONE = UpstreamId.of("one");
    private static final UpstreamId TWO = UpstreamId.of("two");
    private static final Instant START = Instant.ofEpochSecond(100);

    private final LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());

    // Guards against requests for adapters that are refused for the seconds in which the only
    // upstream with their model loads another model from the store.
    @Test
    void theOnlyReplicaOfAModelWithRequestsForAdaptersIsNotBlockedByALoadFromTheStore() {
        start(Set.of(), Set.of());
        assertEquals(List.of(TWO), loadStarts(List.of(demand("a/x", 0, 0.1))));
    }

    // Guards against the same failure under a new leader that no router has reported to for long.
    @Test
    void beforeDemandIsKnownLoadedAdaptersAreTakenToBeInUse() {
        start(Set.of("x"), Set.of());
        assertEquals(List.of(TWO), loadStarts(List.of()));
    }

    // Guards against models that are never loaded because each upstream is needed for an adapter.
    @Test
    void theStoreIsUsedIfAllUpstreamsAreNeededForAdapters() {
        start(Set.of("x"), Set.of("y"));
        assertEquals(List.of(ONE), loadStarts(List.of()));
    }

    private void start(Set<String> adaptersOfOne, Set<String> adaptersOfTwo) {
        planner.on(new LoadInput.ServicesConfigured(Map.of("engines", spec())), START);
        Map<UpstreamId, HeldModels> held =
                Map.of(
                        ONE, held(adaptersOfOne, "a", "b", "c"),
                        TWO, held(adaptersOfTwo, "d", "e", "f"));
        held.forEach((id, models) -> planner.on(listed(id, models), START));
        planner.on(new LoadInput.Elected(), START);
        held.forEach(
                (id, models) ->
                        planner.on(
                                new LoadInput.UpstreamReported(
                                        id, false, models, Set.of(), Set.of()),
                                START));
    }

    // The models of the second upstream are requested more often, so that evicting one costs more.
    private List<UpstreamId> loadStarts(List<LoadInput.ModelDemand> more) {
        List<LoadInput.ModelDemand> demands =
                new ArrayList<>(
                        List.of(
                                demand("d", 0, 1),
                                demand("e", 0, 1),
                                demand("f", 0, 1),
                                demand("h", 1, 0.2)));
        demands.addAll(more);
        LoadInput.DemandReported report =
                new LoadInput.DemandReported(VmId.of("router-1"), demands, Map.of(), Set.of());
        return planner.on(report, START).stream()
                .filter(LoadAction.SendOrder.class::isInstance)
                .map(each -> ((LoadAction.SendOrder) each).upstream())
                .toList();
    }

    private static LoadInput.ModelDemand demand(String model, int waiting, double perSecond) {
        return new LoadInput.ModelDemand(
                ModelRef.parse(model), waiting, Duration.ofMillis(10), 1, perSecond);
    }

    private static HeldModels held(Set<String> adapters, String first, String... others) {
        Map<String, Set<String>> all = new HashMap<>();
        all.put(first, adapters);
        for (String other : others) {
            all.put(other, Set.of());
        }
        return new HeldModels(1, 0, all);
    }

    private static EngineSpec spec() {
        Map<String, ModelSpec> models = new HashMap<>();
        for (String name : List.of("a", "b", "c", "d", "e", "f", "g", "h")) {
            models.put(
                    name,
                    new ModelSpec(
                            name,
                            60,
                            Duration.ofSeconds(6),
                            Duration.ofMillis(600),
                            Duration.ofMillis(800),
                            0.1));
        }
        return new EngineSpec(32, 90_000, 200, 2, 5, models);
    }

    private static LoadInput.UpstreamListed listed(UpstreamId id, HeldModels held) {
        return new LoadInput.UpstreamListed(
                new UpstreamFacts(
                        id,
                        1,
                        "engines",
                        new Endpoint("10.0.0.1", 80),
                        "a",
                        32,
                        false,
                        Duration.ZERO,
                        held,
                        Set.of(),
                        Set.of()));
    }
}
