package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.placement.PlacementException;
import io.damaskyoke.control.placement.PlacementFeed;
import io.damaskyoke.control.placement.PlacementPlanner;
import io.damaskyoke.control.placement.PlacementStore;
import io.damaskyoke.control.placement.PlacementTable;
import io.damaskyoke.control.placement.PollingPlacementFeed;
import io.damaskyoke.control.placement.ReplicaGrant;
import io.damaskyoke.control.routing.AgentEndpoint;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.node.Node;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.platform.VmList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a router's part in placement: updates its fleet with the VMs that may hold each model, plans
 * replicas while the router holds the placement lease, and clears the suspicion of VMs from which
 * it receives frames. Control thread only.
 */
final class PlacementCoordinator {
    private static final Logger LOG = LogManager.getLogger(PlacementCoordinator.class);
    private static final Duration PLAN_PERIOD = Duration.ofSeconds(1);
    private static final Duration WAIT_CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);
    private static final Duration UNLISTED_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SUSPECT_TIME = Duration.ofSeconds(15);

    private final ControlThread control;
    private final Fleet fleet;
    private final Supplier<Configuration> configuration;
    private final PlacementStore store;
    private final PlacementFeed feed;
    private final PlacementLease lease;
    private final PlacementPlanner planner = new PlacementPlanner(UNLISTED_TIMEOUT, SUSPECT_TIME);
    private final VmList vmList;
    private final VmLiveness liveness;
    private final BooleanSupplier confirmed;
    private final Metrics metrics;
    private final Map<VmId, AgentEndpoint> known = new HashMap<>();
    private final List<WaitingRequest> waitingRequests = new ArrayList<>();
    private final Set<Integer> shardsBeingWritten = new HashSet<>();
    private PlacementTable table = PlacementTable.UNREAD;
    private PeerNetwork network;
    private final Set<VmId> everListed = new HashSet<>();
    private Duration readInterval = WAIT_CHECK_PERIOD;
    private Instant nextRead = Instant.MIN;
    private boolean planning;

    PlacementCoordinator(
            Node node,
            Fleet fleet,
            VmLiveness liveness,
            Duration leaseTerm,
            BooleanSupplier confirmed) {
        this.control = node.control();
        this.fleet = fleet;
        this.configuration = node.configuration()::current;
        this.store = new PlacementStore(node.store(), node.storePrefix());
        this.feed = new PollingPlacementFeed(control, store, node.placementPause(), node.metrics());
        this.lease = new PlacementLease(node, store, leaseTerm);
        this.vmList = node.vmList();
        this.liveness = liveness;
        this.confirmed = confirmed;
        this.metrics = node.metrics();
    }

    private record WaitingRequest(ModelName model, Instant until, Runnable step) {}

    /** Starts placement. The network serves to reach a VM that is missing from the list of VMs. */
    void start(PeerNetwork peers) {
        network = peers;
        control.run(
                () -> {
                    lease.start(this::plan);
                    feed.start(this::applyTable);
                    control.every(PLAN_PERIOD, this::plan);
                    control.every(WAIT_CHECK_PERIOD, this::pollForWaiting);
                });
    }

    /** Plans at once, since the new configuration may have new models. */
    void configurationChanged() {
        readInterval = WAIT_CHECK_PERIOD;
        nextRead = Instant.MIN;
        plan();
    }

    /**
     * Runs the step once at least one VM may hold the request's model. A model whose ticket was
     * just accepted has no replica grant yet, and its first request would be refused although a
     * planner is about to make one. After three seconds the step runs anyway and finds no upstream.
     */
    void whenPlaced(Request request, Runnable step) {
        if (request.target() instanceof Target.Model target
                && !fleet.hasReplicaHolder(target.model())) {
            Instant limit = control.clock().instant().plus(MAX_WAIT);
            Instant until = request.deadline().isBefore(limit) ? request.deadline() : limit;
            waitingRequests.add(new WaitingRequest(target.model(), until, step));
            plan();
        } else {
            step.run();
        }
    }

    // A model that fits on no VM but is requested all the time would make each router read the
    // table
    // ten times a second for nothing. So the interval doubles while the table doesn't change.
    private static Duration doubleInterval(Duration interval) {
        Duration twice = interval.multipliedBy(2);
        return twice.compareTo(MAX_WAIT) < 0 ? twice : MAX_WAIT;
    }

    private void pollForWaiting() {
        if (waitingRequests.isEmpty()) {
            return;
        }
        Instant now = control.clock().instant();
        if (!now.isBefore(nextRead)) {
            nextRead = now.plus(readInterval);
            readInterval = doubleInterval(readInterval);
            feed.refresh();
        }
        runReadySteps(now);
    }

    private void runReadySteps(Instant now) {
        for (WaitingRequest waiting : List.copyOf(waitingRequests)) {
            if (fleet.hasReplicaHolder(waiting.model) || !now.isBefore(waiting.until)) {
                waitingRequests.remove(waiting);
                waiting.step.run();
            }
        }
    }

    private void applyTable(PlacementTable newer) {
        if (!newer.shards().equals(table.shards())) {
            readInterval = WAIT_CHECK_PERIOD;
        }
        table = newer;
        fleet.setReplicaHolders(newer.usableHolders());
        newer.shards().forEach(this::clearSuspicions);
        runReadySteps(control.clock().instant());
    }

    private void clearSuspicions(int number, PlacementTable.Stored stored) {
        Set<VmId> alive = liveness.recentlyHeardFrom(control.clock().instant());
        for (ReplicaGrant grant : stored.shard().grants()) {
            if (grant.suspected() && alive.contains(grant.vm())) {
                metrics.count("placement_suspicions_cleared");
                writeShard(
                        number,
                        () ->
                                store.changeGrants(
                                        number,
                                        stored,
                                        grant.vm(),
                                        read ->
                                                read.map(
                                                        each ->
                                                                alive.contains(each.vm())
                                                                        ? each.withoutSuspicion()
                                                                        : each)));
                return;
            }
        }
    }

    private void plan() {
        fleet.endpoints().forEach(member -> known.put(member.vm(), member));
        if (planning || !lease.isHeld() || !confirmed.getAsBoolean()) {
            return;
        }
        planning = true;
        vmList.read().whenComplete((vms, failure) -> control.run(() -> listed(vms, failure)));
    }

    private void listed(List<VmList.Vm> vms, Throwable failure) {
        planning = false;
        if (failure != null || !lease.isHeld()) {
            return;
        }
        Map<VmId, VmList.Vm> listed = new HashMap<>();
        vms.forEach(vm -> listed.put(vm.id(), vm));
        Configuration now = configuration.get();
        table.allGrants()
                .map(ReplicaGrant::vm)
                .filter(vm -> !listed.containsKey(vm))
                .forEach(this::openLink);
        PlacementPlanner.View view =
                new PlacementPlanner.View(
                        table,
                        now.models(),
                        candidates(listed),
                        present(listed.keySet()),
                        liveness.recentlyHeardFrom(control.clock().instant()));
        planner.on(view, control.clock().instant()).forEach(proposal -> propose(proposal, now));
    }

    private List<PlacementPlanner.Candidate> candidates(Map<VmId, VmList.Vm> listed) {
        return fleet.endpoints().stream()
                .map(
                        member ->
                                new PlacementPlanner.Candidate(
                                        member.vm(),
                                        member.pool(),
                                        member.zone(),
                                        isLeaving(listed.get(member.vm()))))
                .toList();
    }

    private static boolean isLeaving(VmList.Vm vm) {
        return vm != null && vm.state() == VmList.State.LEAVING;
    }

    // The list lags, so a registered agent that was never listed has just started. If it counted as
    // gone, it would lose the grants under which it is loading, and a model would be held twice.
    private Set<VmId> present(Set<VmId> listed) {
        everListed.addAll(listed);
        Set<VmId> present = new HashSet<>(listed);
        fleet.endpoints().stream()
                .map(AgentEndpoint::vm)
                .filter(vm -> !everListed.contains(vm))
                .forEach(present::add);
        return present;
    }

    // A link that opens brings heartbeats, which show that the VM is alive.
    private void openLink(VmId vm) {
        AgentEndpoint member = known.get(vm);
        if (member != null) {
            network.link(new PeerAddress(vm, member.host(), member.port()));
        }
    }

    private void propose(PlacementPlanner.Proposal proposal, Configuration now) {
        try {
            writeShard(proposal.shard(), () -> store.applyProposal(proposal, now));
        } catch (PlacementException e) {
            metrics.count("placement_proposals_refused");
            LOG.error(
                    "skipped a placement proposal for shard {}: it violates the placement rules",
                    proposal.shard(),
                    e);
        }
    }

    private void writeShard(int number, Supplier<CompletionStage<Boolean>> write) {
        if (shardsBeingWritten.contains(number)) {
            return;
        }
        CompletionStage<Boolean> written = write.get();
        shardsBeingWritten.add(number);
        written.whenComplete(
                (done, failure) ->
                        control.run(
                                () -> {
                                    shardsBeingWritten.remove(number);
                                    count(done, failure);
                                    feed.refresh();
                                }));
    }

    private void count(Boolean done, Throwable failure) {
        if (failure != null) {
            metrics.count("placement_write_failures");
        } else {
            metrics.count("placement_writes", "done", String.valueOf(done));
        }
    }
}
