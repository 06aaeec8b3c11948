package io.damaskyoke.lab.bench;

import io.damaskyoke.control.configuration.CallerKey;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.routing.AgentEndpoint;
import io.damaskyoke.control.routing.AgentLoad;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Made-up fleets and configurations of a given size. */
final class Samples {
    static final PoolName POOL = PoolName.of("engines");
    private static final long MODEL_BYTES = 8L << 30;
    private static final int ZONES = 15;
    private static final int REPLICAS = 2;
    private static final int BATCH = 16;

    private Samples() {}

    /** A model that has {@code number} in its name. */
    static Model model(int number) {
        return new Model(
                ModelName.of("model-" + number),
                "1",
                POOL,
                Optional.empty(),
                MODEL_BYTES,
                REPLICAS,
                Set.of());
    }

    /** A fleet of agents, each with four models in memory. */
    static Fleet fleet(int agents, int models) {
        Fleet fleet = Fleet.from(zone(0));
        List<AgentEndpoint> members = new ArrayList<>();
        for (int i = 0; i < agents; i++) {
            members.add(new AgentEndpoint(vm(i), POOL, zone(i), "127.0.0.1", 7400));
        }
        fleet.update(members, Set.of());
        for (int i = 0; i < agents; i++) {
            fleet.updateLoad(vm(i), load(i, models));
        }
        fleet.setReplicaHolders(holders(agents, models));
        return fleet;
    }

    /** A configuration of this many models and as many keys, in ten workspaces. */
    static Configuration configuration(int objects) {
        Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            WorkspaceId id = WorkspaceId.of("workspace-" + i);
            workspaces.put(id, new Workspace(id, 1_000, 10_000, 1));
        }
        Map<String, CallerKey> keys = new HashMap<>();
        Map<ModelName, Model> models = new HashMap<>();
        Map<String, Long> tickets = new HashMap<>();
        for (int i = 0; i < objects; i++) {
            WorkspaceId workspace = WorkspaceId.of("workspace-" + i % 10);
            String hash = String.format("%064x", i);
            keys.put(hash, new CallerKey(KeyId.of("key-" + i), workspace, hash, true));
            models.put(model(i).name(), model(i));
            tickets.put("model/model-" + i, (long) i);
            tickets.put("key/key-" + i, (long) i);
        }
        return new Configuration(1, workspaces, keys, models, Map.of(), tickets);
    }

    private static Map<ModelName, Set<VmId>> holders(int agents, int models) {
        Map<ModelName, Set<VmId>> holders = new HashMap<>();
        for (int i = 0; i < models; i++) {
            holders.put(model(i).name(), Set.of(vm(i % agents), vm((i + 1) % agents)));
        }
        return holders;
    }

    private static AgentLoad load(int agent, int models) {
        Set<ModelName> loaded =
                Set.of(model(agent % models).name(), model((agent + models / 2) % models).name());
        return new AgentLoad(agent % BATCH, 0, BATCH, loaded, Set.of());
    }

    private static VmId vm(int number) {
        return VmId.of("agent-" + number);
    }

    private static AvailabilityZone zone(int number) {
        return AvailabilityZone.of("zone-" + number % ZONES);
    }
}
