package io.damaskyoke.daemons;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.agent.Agent;
import io.damaskyoke.node.ReadyLine;
import io.damaskyoke.router.Router;
import io.damaskyoke.settings.Settings;

/** A router or an agent in the JVM of the test. */
final class InJvmProcess implements FleetProcess {
    private final ReadyLine ready;
    private final Runnable stop;

    private InJvmProcess(ReadyLine ready, Runnable stop) {
        this.ready = ready;
        this.stop = stop;
    }

    static FleetProcess launch(String role, String name, String toml) {
        if (role.equals("router")) {
            Router router = Router.start(Settings.parseRouter(toml, name + ".toml"));
            return new InJvmProcess(router.ready(), router::stop);
        }
        Agent agent = Agent.start(Settings.parseAgent(toml, name + ".toml"));
        return new InJvmProcess(agent.ready(), agent::stop);
    }

    @Override
    public JsonNode ready() {
        return FleetClient.json(ready.toJson());
    }

    @Override
    public void stop() {
        stop.run();
    }
}
