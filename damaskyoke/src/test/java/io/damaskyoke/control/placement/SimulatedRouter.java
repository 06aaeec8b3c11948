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
    private final PlacementSimulation simulation;
    private final PlacementPlanner planner;
    private final List<PendingProposal> pendingProposals = new ArrayList<>();
    private PlacementTable table = PlacementTable.UNREAD;
    private int frozenSteps;

    /** A pending proposal, and the configuration that it was computed from. */
    private record PendingProposal(
            PlacementPlanner.Proposal proposal, Configuration configuration) {}

    SimulatedRouter(PlacementSimulation simulation) {
        this.simulation = simulation;
        this.planner =
                simulation.policy == PlacementPolicy.TIMEOUT_ONLY
                        ? new PlacementPlanner(Duration.ofSeconds(5), Duration.ZERO)
                        : new PlacementPlanner(
                                PlacementSimulation.GONE_AFTER, PlacementSimulation.SUSPECT_TIME);
    }

    void freeze(int steps) {
        frozenSteps = Math.max(frozenSteps, steps);
    }

    void resume() {
        frozenSteps = 0;
    }

    void step() {
        if (frozenSteps > 0) {
            frozenSteps--;
            return;
        }
        if (!simulation.ownView()) {
            pendingProposals.forEach(
                    pending ->
                            simulation.store.applyProposal(
                                    pending.proposal, pending.configuration));
            pendingProposals.clear();
            if (simulation.leads(this)) {
                plan();
            }
        }
        if (simulation.random.nextInt(2) == 0) {
            simulation.store.read().thenAccept(this::update);
        }
        if (simulation.random.nextInt(3) == 0) {
            send();
        }
    }

    private void update(PlacementTable newer) {
        if (newer.revision() >= table.revision()) {
            table = newer;
        }
    }

    private void plan() {
        Set<VmId> listed = simulation.listed(8);
        List<PlacementPlanner.Candidate> candidates =
                listed.stream().map(vm -> simulation.vms.get(vm)).map(this::candidate).toList();
        PlacementPlanner.View view =
                new PlacementPlanner.View(
                        table,
                        simulation.configurationOf(this).models(),
                        candidates,
                        listed,
                        recentlyHeard());
        for (PlacementPlanner.Proposal proposal : planner.on(view, simulation.now)) {
            if (simulation.faults && simulation.random.nextInt(4) == 0) {
                pendingProposals.add(
                        new PendingProposal(proposal, simulation.configurationOf(this)));
            } else {
                propose(proposal);
            }
        }
    }

    private void propose(PlacementPlanner.Proposal proposal) {
        simulation.store.applyProposal(proposal, simulation.configurationOf(this));
    }

    private PlacementPlanner.Candidate candidate(SimulatedVm vm) {
        return new PlacementPlanner.Candidate(
                vm.id, PlacementSimulation.POOL, vm.zone, simulation.leaving.contains(vm.id));
    }

    private Set<VmId> recentlyHeard() {
        if (simulation.policy == PlacementPolicy.TIMEOUT_ONLY) {
            return Set.of();
        }
        Set<VmId> recentlyHeard = new HashSet<>();
        simulation.vms.values().stream()
                .filter(vm -> vm.isAgentUp() && simulation.random.nextInt(3) > 0)
                .forEach(vm -> recentlyHeard.add(vm.id));
        return recentlyHeard;
    }

    private void send() {
        List<Model> models = List.copyOf(simulation.models.values());
        Model model = models.get(simulation.random.nextInt(models.size()));
        List<VmId> chosenVms = chosenVms(model);
        if (!chosenVms.isEmpty()) {
            simulation
                    .vms
                    .get(chosenVms.get(simulation.random.nextInt(chosenVms.size())))
                    .queueRequest(model.name());
        }
    }

    // The naive router chooses the first of the VMs that it believes to be running.
    private List<VmId> chosenVms(Model model) {
        if (!simulation.ownView()) {
            return List.copyOf(table.usableHolders().getOrDefault(model.name(), Set.of()));
        }
        return simulation.listed(simulation.routers.indexOf(this) * 8).stream()
                .sorted(Comparator.comparing(vm -> rank(model.name(), vm)))
                .limit(model.maxReplicas())
                .collect(Collectors.toList());
    }

    private static int rank(ModelName model, VmId vm) {
        return (model.value() + vm.value()).hashCode() * 0x9e3779b1;
    }
}
