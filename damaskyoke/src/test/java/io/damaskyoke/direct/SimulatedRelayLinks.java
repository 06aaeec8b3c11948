package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Simulates one router's links to the relays that watch the store for it, with latency. */
final class SimulatedRelayLinks {
    private static final Duration ONE_WAY = Duration.ofMillis(2);

    private final ControlThread world;
    private final ControlThread control;
    private final Map<VmId, FollowingRouter> relayRouters = new LinkedHashMap<>();
    private final StoreRelays relays;

    SimulatedRelayLinks(ControlThread world, ControlThread control, List<FollowingRouter> relays) {
        this.world = world;
        this.control = control;
        relays.forEach(each -> relayRouters.put(VmId.of(each.name()), each));
        this.relays =
                new StoreRelays(control, () -> List.copyOf(relayRouters.keySet()), this::fetch);
    }

    Relay relay() {
        return relays;
    }

    private boolean fetch(VmId relay, long number, String prefix, long after, Duration wait) {
        FollowingRouter relayRouter = relayRouters.get(relay);
        world.after(
                ONE_WAY,
                () ->
                        relayRouter.answerChanges(
                                prefix, after, wait, answer -> answer(relay, number, answer)));
        return true;
    }

    private void answer(VmId relay, long number, Optional<Changes> answer) {
        world.after(ONE_WAY, () -> control.run(() -> relays.answered(relay, number, answer)));
    }
}
