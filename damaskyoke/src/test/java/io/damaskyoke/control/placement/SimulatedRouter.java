package io.damaskyoke.control.placement;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** A simulated router, which always believes that it holds the lease and is frozen at times. */
final class SimulatedRouter {
    private final PlacementSimulation world;
    private final PlacementPlanner planner;
    private final List<Delayed> delayed = new ArrayList<>();
    private PlacementTable table = PlacementTable.UNREAD;
    private int frozenFor;

    /** A pending proposal, and the configuration that it was computed from. */
    private record Delayed(PlacementPlanner.Proposal proposal, Configuration configuration) {}

    SimulatedRouter(PlacementSimulation world) {
        this.world = world;
        this.planner =
                world.policy == PlacementPolicy.TIMEOUT_ONLY
                        ? new PlacementPlanner(Duration.ofSeconds(5), Duration.ZERO)
                        : new PlacementPlanner(
                                PlacementSimulation.GONE_AFTER, PlacementSimulation.SUSPECT_TIME);
    }

    void freeze(int steps) {
        frozenFor = Math.max(frozenFor, steps);
    }

    void resume() {
        frozenFor = 0;
    }

    void step() {
        if (frozenFor > 0) {
            frozenFor--;
            return;
        }
        if (!world.ownView()) {
            delayed.forEach(late -> world.store.applyProposal(late.proposal, late.configuration));
            delayed.clear();
            if (world.leads(this)) {
                plan();
            }
        }
        if (world.random.nextInt(2) == 0) {
            world.store.read().thenAccept(this::take);
        }
        if (world.random.nextInt(3) == 0) {
            send();
        }
    }

    private void take(PlacementTable newer) {
        if (newer.revision() >= table.revision()) {
            table = newer;
        }
    }

    private void plan() {
        Set<VmId> listed = world.listed(8);
        List<PlacementPlanner.Candidate> candidates =
                listed.stream().map(vm -> world.vms.get(vm)).map(this::candidate).toList();
        PlacementPlanner.View view =
                new PlacementPlanner.View(
                        table, world.configurationOf(this).models(), candidates, listed, heard());
        for (PlacementPlanner.Proposal proposal : planner.on(view, world.now)) {
            if (world.faults && world.random.nextInt(4) == 0) {
                delayed.add(new Delayed(proposal, world.configurationOf(this)));
            } else {
                propose(proposal);
            }
        }
    }

    private void propose(PlacementPlanner.Proposal proposal) {
        world.store.applyProposal(proposal, world.configurationOf(this));
    }

    private PlacementPlanner.Candidate candidate(SimulatedVm vm) {
        return new PlacementPlanner.Candidate(
                vm.id, PlacementSimulation.POOL, vm.zone, world.leaving.contains(vm.id));
    }

    private Set<VmId> heard() {
        if (world.policy == PlacementPolicy.TIMEOUT_ONLY) {
            return Set.of();
        }
        Set<VmId> heard = new HashSet<>();
        world.vms.values().stream()
                .filter(vm -> vm.isAgentUp() && world.random.nextInt(3) > 0)
                .forEach(vm -> heard.add(vm.id));
        return heard;
    }

    private void send() {
        List<Model> models = List.copyOf(world.models.values());
        Model model = models.get(world.random.nextInt(models.size()));
        List<VmId> homes = homes(model);
        if (!homes.isEmpty()) {
            world.vms.get(homes.get(world.random.nextInt(homes.size()))).queueRequest(model.name());
        }
    }

    // The naive router chooses the first of the VMs that it believes to be running.
    private List<VmId> homes(Model model) {
        if (!world.ownView()) {
            return List.copyOf(table.usableHolders().getOrDefault(model.name(), Set.of()));
        }
        return world.listed(world.routers.indexOf(this) * 8).stream()
                .sorted(Comparator.comparing(vm -> rank(model.name(), vm)))
                .limit(model.maxReplicas())
                .collect(Collectors.toList());
    }

    private static int rank(ModelName model, VmId vm) {
        return (model.value() + vm.value()).hashCode() * 0x9e3779b1;
    }
}
