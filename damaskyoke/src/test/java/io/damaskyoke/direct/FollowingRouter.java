package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.follow.Pace;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The part of a router that follows the store, on a VM and a path that fail. */
final class FollowingRouter {
    private final String name;
    private final ControlThread world;
    private final FreezingControl control;
    private final SimulatedPath path;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final ConfigurationHolder configuration;
    private final UpstreamFollower follower;
    private final ZoneDrains drains;
    private final Map<String, Follower> followed = new HashMap<>();
    private final SimulatedLinks links;
    private final List<SimulatedPath.State> troubles = new ArrayList<>();
    private int otherTroubles;
    private Instant calmSince;

    FollowingRouter(String name, ControlThread world, SimulatedStore store, Pace pace) {
        this(name, world, store, pace, List.of());
    }

    /** One that asks these others before the store. */
    FollowingRouter(
            String name,
            ControlThread world,
            SimulatedStore store,
            Pace pace,
            List<FollowingRouter> relays) {
        this.name = name;
        this.world = world;
        this.control = new FreezingControl(world);
        this.path = new SimulatedPath(control, world, store);
        TestDialect dialect = new TestDialect();
        Metrics metrics = new Metrics();
        this.configuration = new ConfigurationHolder(dialect, any -> {});
        this.calmSince = world.clock().instant();
        this.drains = new ZoneDrains(dialect, upstreams.zones(), Set.of(), new NoDrains());
        this.links = new SimulatedLinks(world, control, relays);
        Relay relay = relays.isEmpty() ? Relay.none() : links.relay();
        OperatorFollower versions =
                new OperatorFollower(
                        control, path, dialect, configuration, drains, pace, relay, metrics);
        followed.put(versions.follower().prefix(), versions.follower());
        versions.start();
        this.follower =
                new UpstreamFollower(
                        control, path, dialect, upstreams, Paces.UPSTREAMS, relay, metrics);
        followed.put(follower.follower().prefix(), follower.follower());
        follower.start(new Nobody());
    }

    String name() {
        return name;
    }

    /** The version in force; 0 if there is none. */
    long version() {
        return configuration.current().map(each -> each.version()).orElse(0L);
    }

    /** True if the router would send requests to the upstream. */
    boolean uses(String upstream) {
        return upstreams
                .find(UpstreamId.of(upstream))
                .filter((Upstream each) -> each.accepts(world.clock().instant()))
                .isPresent();
    }

    /** Hears a report of another router, and asks it for what that calls for. */
    void hears(FollowingRouter other) {
        if (control.frozen() || other.control.frozen()) {
            return;
        }
        if (other.configuration.revision() > configuration.revision()) {
            configuration.offer(
                    other.configuration.value(), other.configuration.revision(), other.name);
        }
        drains.told(other.drains.known());
        if (follower.needsDepartures(other.upstreams.revision())) {
            follower.applyDepartures(other.upstreams.departures(follower.departuresReadUpTo()));
        }
    }

    /** Another router asks what has changed; the answer goes to the sink, on this thread. */
    void asked(String prefix, long after, Duration wait, Consumer<Optional<Changes>> told) {
        control.run(() -> followed.get(prefix).tell(after, wait, told));
    }

    /** How often this router has asked the store. */
    long storeCalls() {
        return path.calls();
    }

    void pathFails(SimulatedPath.State how) {
        troubles.add(how);
        path.set(how);
    }

    void pathReturns(SimulatedPath.State how) {
        troubles.remove(how);
        path.set(troubles.isEmpty() ? SimulatedPath.State.OPEN : troubles.get(0));
        calmed();
    }

    void freeze() {
        otherTroubles++;
        if (!control.frozen()) {
            control.freeze();
        }
    }

    void thaw() {
        otherTroubles--;
        if (otherTroubles == 0) {
            control.thaw();
            calmed();
        }
    }

    /** Notes that something else than path or VM has just got over. */
    void calmed() {
        calmSince = world.clock().instant();
    }

    boolean calm() {
        return troubles.isEmpty() && otherTroubles == 0;
    }

    /** True if nothing but its way to the store is wrong. */
    boolean cutOffOnly() {
        return !troubles.isEmpty() && otherTroubles == 0;
    }

    /** Since when nothing is wrong with the way to the store, or was until it went wrong. */
    Instant calmSince() {
        return calmSince;
    }

    /** Needs no telling of drains. */
    private static final class NoDrains implements ZoneDrains.Listener {
        @Override
        public void drained(String zone) {}

        @Override
        public void restored(String zone) {}
    }

    /** Needs no telling. */
    private static final class Nobody implements UpstreamFollower.Listener {
        @Override
        public void upstreamListed(UpstreamFacts facts) {}

        @Override
        public void upstreamRemoved(UpstreamFacts last) {}
    }
}
