package io.damaskyoke.lab;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.rates.RateInput;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** A way to keep workspaces within their rates over several routers. */
interface RatePolicy {
    /** Its name in the rows. */
    String name();

    /** Decides on a request at a router, at once or a little later. */
    void arrive(int router, WorkspaceId workspace, long tokens, Consumer<Boolean> verdict);

    /** Gives back what a request was charged too much. */
    void refund(int router, WorkspaceId workspace, long tokens);

    /** The routers that are there now, and whether the store answers. */
    void world(Set<Integer> alive, boolean storeUp);

    /** Calls to the store so far. */
    int calls();

    /** Naive: each of the three places has a third for good, full at its start. */
    final class EvenSplit implements RatePolicy {
        private final RateWorld world;
        private final Map<String, SpendLog> buckets = new HashMap<>();

        EvenSplit(RateWorld world) {
            this.world = world;
        }

        @Override
        public String name() {
            return "even-split";
        }

        @Override
        public void arrive(
                int router, WorkspaceId workspace, long tokens, Consumer<Boolean> verdict) {
            Workspace limits = world.workspaces.get(workspace);
            SpendLog bucket = bucket(router, workspace);
            boolean fits = bucket.fits(tokens, limits.burst() / Deployment.ROUTERS, world.now());
            if (fits) {
                bucket.spent(tokens, world.now());
            }
            verdict.accept(fits);
        }

        @Override
        public void refund(int router, WorkspaceId workspace, long tokens) {
            bucket(router, workspace).spent(-tokens, world.now());
        }

        @Override
        public void world(Set<Integer> alive, boolean storeUp) {}

        @Override
        public int calls() {
            return 0;
        }

        private SpendLog bucket(int router, WorkspaceId workspace) {
            double rate = world.workspaces.get(workspace).rate() / Deployment.ROUTERS;
            return buckets.computeIfAbsent(router + "/" + workspace, key -> new SpendLog(rate));
        }
    }

    /**
     * One router decides for a workspace, under a lease in the store; all others ask it. After its
     * loss the next one waits for the lease to end and starts empty.
     */
    final class Owner implements RatePolicy {
        private static final Duration LEASE = Duration.ofSeconds(10);

        private final RateWorld world;
        private final Map<WorkspaceId, SpendLog> buckets = new HashMap<>();
        private final Map<WorkspaceId, Integer> owners = new HashMap<>();
        private final Map<WorkspaceId, Instant> from = new HashMap<>();
        private Set<Integer> alive = Set.of(0, 1, 2);
        private Instant downSince = Instant.MAX;
        private Instant counted = Instant.EPOCH;
        private double calls;

        Owner(RateWorld world) {
            this.world = world;
        }

        @Override
        public String name() {
            return "owner";
        }

        @Override
        public void arrive(
                int router, WorkspaceId workspace, long tokens, Consumer<Boolean> verdict) {
            Instant now = world.now();
            Workspace limits = world.workspaces.get(workspace);
            int owner = owners.computeIfAbsent(workspace, id -> first(id));
            if (!alive.contains(owner)) {
                owners.put(workspace, first(workspace));
                from.put(workspace, now.plus(LEASE));
                SpendLog empty = new SpendLog(limits.rate());
                empty.spent(limits.burst(), now.plus(LEASE));
                buckets.put(workspace, empty);
            }
            boolean leased =
                    !now.isBefore(from.getOrDefault(workspace, Instant.EPOCH))
                            && (downSince.equals(Instant.MAX)
                                    || now.isBefore(downSince.plus(LEASE)));
            SpendLog bucket = buckets.computeIfAbsent(workspace, id -> new SpendLog(limits.rate()));
            boolean fits = leased && bucket.fits(tokens, limits.burst(), now);
            if (fits) {
                bucket.spent(tokens, now);
            }
            verdict.accept(fits);
        }

        @Override
        public void refund(int router, WorkspaceId workspace, long tokens) {
            buckets.get(workspace).spent(-tokens, world.now());
        }

        @Override
        public void world(Set<Integer> there, boolean storeUp) {
            alive = there;
            if (storeUp) {
                downSince = Instant.MAX;
            } else if (downSince.equals(Instant.MAX)) {
                downSince = world.now();
            }
            double seconds = Duration.between(counted, world.now()).toMillis() / 1000.0;
            calls += seconds / 3 * world.workspaces.size();
            counted = world.now();
        }

        @Override
        public int calls() {
            return (int) calls;
        }

        private int first(WorkspaceId workspace) {
            int start = Math.floorMod(workspace.value().hashCode(), Deployment.ROUTERS);
            for (int step = 0; step < Deployment.ROUTERS; step++) {
                int router = (start + step) % Deployment.ROUTERS;
                if (alive.contains(router)) {
                    return router;
                }
            }
            return start;
        }
    }

    /** The real machines. */
    final class Shares implements RatePolicy {
        private final RateWorld world;
        private final Map<ExchangeId, Consumer<Boolean>> waiting;
        private final String[] names;
        private long counter;

        Shares(RateWorld world, Map<ExchangeId, Consumer<Boolean>> waiting, String[] names) {
            this.world = world;
            this.waiting = waiting;
            this.names = names;
        }

        @Override
        public String name() {
            return "ours";
        }

        @Override
        public void arrive(
                int router, WorkspaceId workspace, long tokens, Consumer<Boolean> verdict) {
            RateWorld.Router there = there(router);
            var id = new ExchangeId(there.incarnation, ++counter);
            waiting.put(id, verdict);
            world.feed(there, new RateInput.RequestArrived(id, workspace, tokens));
        }

        @Override
        public void refund(int router, WorkspaceId workspace, long tokens) {
            world.feed(there(router), new RateInput.RequestSettled(workspace, tokens, 0));
        }

        @Override
        public void world(Set<Integer> alive, boolean storeUp) {
            world.storeDown = !storeUp;
        }

        @Override
        public int calls() {
            return world.calls;
        }

        private RateWorld.Router there(int router) {
            return world.routers.get(VmId.of(names[router]));
        }
    }
}
