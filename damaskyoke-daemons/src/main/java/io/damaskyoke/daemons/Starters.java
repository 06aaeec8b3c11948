package io.damaskyoke.daemons;

import io.damaskyoke.agent.Agent;
import io.damaskyoke.node.ReadyLine;
import io.damaskyoke.router.Router;
import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.settings.RouterSettings;

/** How the daemons start; each prints its ready line once it takes work. */
final class Starters {
    static final DaemonStarter<RouterSettings> ROUTER = Starters::router;
    static final DaemonStarter<AgentSettings> AGENT = Starters::agent;

    private Starters() {}

    private static RunningDaemon router(RouterSettings settings) {
        Router router = Router.start(settings);
        announce(router.ready());
        return router::stop;
    }

    private static RunningDaemon agent(AgentSettings settings) {
        Agent agent = Agent.start(settings);
        announce(agent.ready());
        return agent::stop;
    }

    private static void announce(ReadyLine line) {
        System.out.println(line.toJson());
        System.out.flush();
    }
}
