package io.damaskyoke.router;

import io.damaskyoke.control.routing.AgentLoad;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.peer.wire.Load;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Converts the load that agents report in their frames to {@link AgentLoad}. */
final class AgentLoadParser {
    private AgentLoadParser() {}

    static AgentLoad fromWire(Load load) {
        return new AgentLoad(
                load.getRunning(),
                load.getWaiting(),
                load.getLimit(),
                names(load.getLoadedList()),
                names(load.getLoadingList()));
    }

    private static Set<ModelName> names(List<String> values) {
        return values.stream().map(ModelName::of).collect(Collectors.toSet());
    }
}
