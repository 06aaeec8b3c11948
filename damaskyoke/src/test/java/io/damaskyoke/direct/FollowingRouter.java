package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.follow.PollTiming;
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

/** The part of a router that follows the store, on a VM and a path to the store that can fail. */
final class FollowingRouter {
    private final String name;
    private final ControlThread world;
    private final FreezableControlThread control;
    private final SimulatedStorePath path;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final ConfigurationHolder configuration;
    private final UpstreamFollower follower;
    private final ZoneDrains drains;
    private final Map<String, Follower> followed = new HashMap<>();
    private final SimulatedRelayLinks links;
    private final List<SimulatedStorePath.State> pathFaults = new ArrayList<>();
    private int otherFaults;
    private Instant recoveredAt;

    FollowingRouter(String name, ControlThread world, SimulatedStore store, PollTiming timing) {
        this(name, world, store, timing, List.of());
    }

    /** Creates a router that asks these relays before it asks the store. */
    FollowingRouter(
            String name,
            ControlThread world,
            SimulatedStore store,
            PollTiming timing,
            List<FollowingRouter> relays) {
        this.name = name;
        this.world = world;
        this.control = new FreezableControlThread(world);
        this.path = new SimulatedStorePath(control, world, store);
        TestDialect dialect = new TestDialect();
        Metrics metrics = new Metrics();
        this.configuration = new ConfigurationHolder(dialect, any -> {});
        this.recoveredAt = world.clock().instant();
        this.drains = new ZoneDrains(dialect, upstreams.zones(), Set.of(), new IgnoredDrains());
        this.links = new SimulatedRelayLinks(world, control, relays);
        Relay relay = relays.isEmpty() ? Relay.none() : links.relay();
        OperatorSettingsFollower settings =
                new OperatorSettingsFollower(
                        control, path, dialect, configuration, drains, timing, relay, metrics);
        followed.put(settings.follower().prefix(), settings.follower());
        settings.start();
        this.follower =
                new UpstreamFollower(
                        control,
                        path,
                        dialect,
                        upstreams,
                        StorePollTimings.UPSTREAMS,
                        relay,
                        metrics);
        followed.put(follower.follower().prefix(), follower.follower());
        follower.start(new IgnoredUpstreams());
    }

    String name() {
        return name;
    }

    /** Returns the version of the configuration in force; 0 if there is none. */
    long version() {
        return configuration.current().map(each -> each.version()).orElse(0L);
    }

    /** Returns true if the router would send requests to the upstream. */
    boolean uses(String upstream) {
        return upstreams
                .find(UpstreamId.of(upstream))
                .filter((Upstream each) -> each.accepts(world.clock().instant()))
                .isPresent();
    }

    /**
     * Receives a report of another router, and fetches from it what the report shows to be newer.
     */
    void receiveReport(FollowingRouter other) {
        if (control.frozen() || other.control.frozen()) {
            return;
        }
        if (other.configuration.revision() > configuration.revision()) {
            configuration.replaceIfNewer(
                    other.configuration.storedBytes(), other.configuration.revision(), other.name);
        }
        drains.merge(other.drains.current());
        if (follower.needsDepartures(other.upstreams.revision())) {
            follower.applyDepartures(other.upstreams.departures(follower.departuresReadUpTo()));
        }
    }

    /**
     * Answers another router's request for changes; the consumer is called on this router's thread.
     */
    void answerChanges(
            String prefix, long after, Duration wait, Consumer<Optional<Changes>> callback) {
        control.run(() -> followed.get(prefix).answerPoll(after, wait, callback));
    }

    /** Returns the number of calls of this router to the store. */
    long storeCalls() {
        return path.calls();
    }

    void startPathFault(SimulatedStorePath.State how) {
        pathFaults.add(how);
        path.set(how);
    }

    void endPathFault(SimulatedStorePath.State how) {
        pathFaults.remove(how);
        path.set(pathFaults.isEmpty() ? SimulatedStorePath.State.OPEN : pathFaults.get(0));
        recordRecovery();
    }

    void freeze() {
        otherFaults++;
        if (!control.frozen()) {
            control.freeze();
        }
    }

    void unfreeze() {
        otherFaults--;
        if (otherFaults == 0) {
            control.unfreeze();
            recordRecovery();
        }
    }

    /** Records that a fault that is neither in the path nor in the VM has just ended. */
    void recordRecovery() {
        recoveredAt = world.clock().instant();
    }

    boolean hasNoFault() {
        return pathFaults.isEmpty() && otherFaults == 0;
    }

    /** Returns true if its path to the store has a fault, and nothing else has. */
    boolean hasOnlyPathFault() {
        return !pathFaults.isEmpty() && otherFaults == 0;
    }

    /** Returns the instant at which the last fault that is over ended. */
    Instant recoveredAt() {
        return recoveredAt;
    }

    /** Ignores drains. */
    private static final class IgnoredDrains implements ZoneDrains.Listener {
        @Override
        public void drained(String zone) {}

        @Override
        public void restored(String zone) {}
    }

    /** Ignores changes of upstreams. */
    private static final class IgnoredUpstreams implements UpstreamFollower.Listener {
        @Override
        public void upstreamListed(UpstreamFacts facts) {}

        @Override
        public void upstreamRemoved(UpstreamFacts last) {}
    }
}
