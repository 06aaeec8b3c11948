package io.damaskyoke.daemons;

import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.settings.RouterSettings;

/** How the daemons of this build start. */
final class Starters {
    static final DaemonStarter<RouterSettings> ROUTER =
            settings -> {
                throw CommandException.failed("this build has no router");
            };

    static final DaemonStarter<AgentSettings> AGENT =
            settings -> {
                throw CommandException.failed("this build has no agent");
            };

    private Starters() {}
}
