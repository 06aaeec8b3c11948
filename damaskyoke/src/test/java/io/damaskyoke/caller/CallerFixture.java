package io.damaskyoke.caller;

import io.damaskyoke.control.configuration.CallerKey;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.KeyHasher;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.configuration.Service;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.settings.RouterSettings;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A configuration with one workspace's key, models and a service. */
final class CallerFixture {
    static final String KEY = "sk-kochi-0001";
    static final String WITHDRAWN = "sk-kochi-0002";
    static final KeyHasher HASHER = KeyHasher.of("a secret of sixteen");
    static final int MAX_BODY = 2_000;

    private CallerFixture() {}

    static Configuration configuration(boolean granted) {
        WorkspaceId slab = new WorkspaceId("slab");
        return new Configuration(
                1,
                Map.of(),
                Map.of(
                        HASHER.hash(KEY),
                        new CallerKey(new KeyId("k1"), slab, HASHER.hash(KEY), granted),
                        HASHER.hash(WITHDRAWN),
                        new CallerKey(new KeyId("k2"), slab, HASHER.hash(WITHDRAWN), false)),
                Map.of(
                        ModelName.of("cut-sheet"), model("cut-sheet", Set.of(slab)),
                        ModelName.of("tides"), model("tides", Set.of(new WorkspaceId("oyster")))),
                Map.of(
                        new ServiceName("ledger"),
                        new Service(
                                new ServiceName("ledger"),
                                new PoolName("plain"),
                                List.of("POST /lookup"),
                                Set.of(slab))),
                Map.of());
    }

    static RouterSettings.Caller settings(Duration headerTimeout) {
        return new RouterSettings.Caller(
                "127.0.0.1",
                0,
                MAX_BODY,
                2_000,
                headerTimeout,
                8,
                Duration.ofSeconds(30),
                Duration.ofSeconds(60));
    }

    private static Model model(String name, Set<WorkspaceId> workspaces) {
        return new Model(
                ModelName.of(name), "1", new PoolName("gpu"), Optional.empty(), 1, 1, workspaces);
    }
}
