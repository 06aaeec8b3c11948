package io.damaskyoke.control.routing;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import scala.util.hashing.MurmurHash3$;

/**
 * The agents known to a router with their load and state, from which it selects one for a request:
 * {@code fleet.selectForModel(model, tried, now)}. Used on the control thread only.
 */
public final class Fleet {
    private static final int HASH_SEED = 0x2f0b4c47;

    private final AvailabilityZone localZone;
    private final Map<VmId, AgentEndpoint> endpoints = new TreeMap<>();
    private final Map<VmId, AgentLoad> loads = new HashMap<>();
    private final Map<VmId, Integer> outstanding = new HashMap<>();
    private final Map<VmId, Instant> suspendedUntil = new HashMap<>();
    private final Set<VmId> draining = new HashSet<>();
    private Set<VmId> leaving = Set.of();
    private Map<ModelName, Set<VmId>> replicaHolders = Map.of();
    private Map<PoolName, List<AgentEndpoint>> pools = Map.of();

    private Fleet(AvailabilityZone localZone) {
        this.localZone = localZone;
    }

    /** Creates an empty fleet for a router in this availability zone. */
    public static Fleet from(AvailabilityZone localZone) {
        return new Fleet(localZone);
    }

    /**
     * Replaces the list of agents; the known load and state of agents that stay is kept.
     *
     * @param present endpoints of all registered agents
     * @param listedAsLeaving VMs that are leaving and get no new requests
     */
    public void update(Collection<AgentEndpoint> present, Set<VmId> listedAsLeaving) {
        endpoints.clear();
        present.forEach(agent -> endpoints.put(agent.vm(), agent));
        pools = endpoints.values().stream().collect(Collectors.groupingBy(AgentEndpoint::pool));
        loads.keySet().retainAll(endpoints.keySet());
        suspendedUntil.keySet().retainAll(endpoints.keySet());
        draining.retainAll(endpoints.keySet());
        leaving = Set.copyOf(listedAsLeaving);
    }

    /** Sets the VMs that may hold a replica of each model; requests are sent only to these. */
    public void setReplicaHolders(Map<ModelName, Set<VmId>> newHolders) {
        replicaHolders = Map.copyOf(newHolders);
    }

    /** Returns true if at least one VM may hold the model. */
    public boolean hasReplicaHolder(ModelName model) {
        return replicaHolders.containsKey(model);
    }

    /** Records the load that an agent reported. */
    public void updateLoad(VmId vm, AgentLoad load) {
        loads.put(vm, load);
    }

    /** Marks an agent as draining, so that it is not selected. */
    public void markDraining(VmId vm) {
        draining.add(vm);
    }

    /** Clears the state of an agent that restarted; a new incarnation accepts requests again. */
    public void markRestarted(VmId vm) {
        draining.remove(vm);
        suspendedUntil.remove(vm);
        loads.remove(vm);
    }

    /** Excludes an unreachable agent from selection for this time. */
    public void suspend(VmId vm, Instant now, Duration time) {
        suspendedUntil.put(vm, now.plus(time));
    }

    /** Counts a request that was sent to an agent as outstanding. */
    public void countSent(VmId vm) {
        outstanding.merge(vm, 1, Integer::sum);
    }

    /** Counts an outstanding request of an agent as finished. */
    public void countFinished(VmId vm) {
        outstanding.computeIfPresent(vm, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns true if the agent has outstanding requests from this router. */
    public boolean hasOutstandingRequests(VmId vm) {
        return outstanding.containsKey(vm);
    }

    /** Returns the endpoint of an agent, or empty if the agent is unknown. */
    public Optional<AgentEndpoint> endpoint(VmId vm) {
        return Optional.ofNullable(endpoints.get(vm));
    }

    /** Returns the endpoints of all known agents, ordered by VM. */
    public List<AgentEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /** Returns the load that an agent last reported. */
    public AgentLoad load(VmId vm) {
        return loads.getOrDefault(vm, AgentLoad.UNKNOWN);
    }

    /**
     * Selects the agent for a request to a model: an agent with free capacity that has loaded the
     * model, else one that is loading it, else a full one that has loaded it, else the first of the
     * agents that may hold it in rendezvous order. All routers compute the same order, so a burst
     * of first requests at many routers loads the model at one agent only.
     *
     * @param tried agents that already got the request and are excluded
     */
    public Optional<VmId> selectForModel(Model model, Set<VmId> tried, Instant now) {
        List<AgentEndpoint> candidates = candidatesFor(model, tried, now);
        ModelName name = model.name();
        return leastLoaded(candidates, agent -> hasLoaded(agent, name) && utilization(agent) < 1.0)
                .or(
                        () ->
                                leastLoaded(
                                        candidates,
                                        agent -> load(agent.vm()).loading().contains(name)))
                .or(() -> leastLoaded(candidates, agent -> hasLoaded(agent, name)))
                .or(() -> candidates.stream().findFirst().map(AgentEndpoint::vm));
    }

    /**
     * Selects the least loaded agent in the pool of a plain service; among equals, one in the
     * router's own availability zone is preferred.
     *
     * @param tried agents that already got the request and are excluded
     */
    public Optional<VmId> selectForService(PoolName pool, Set<VmId> tried, Instant now) {
        List<AgentEndpoint> candidates =
                pools.getOrDefault(pool, List.of()).stream()
                        .filter(agent -> isSelectable(agent.vm(), tried, now))
                        .toList();
        return leastLoaded(candidates, agent -> true);
    }

    private List<AgentEndpoint> candidatesFor(Model model, Set<VmId> tried, Instant now) {
        String name = model.base().orElse(model.name()).value();
        return replicaHolders.getOrDefault(model.name(), Set.of()).stream()
                .map(endpoints::get)
                .filter(agent -> agent != null && agent.pool().equals(model.pool()))
                .filter(agent -> isSelectable(agent.vm(), tried, now))
                .sorted(
                        Comparator.comparingInt(
                                        (AgentEndpoint agent) -> rendezvousWeight(name, agent))
                                .reversed())
                .toList();
    }

    private boolean isSelectable(VmId vm, Set<VmId> tried, Instant now) {
        return !leaving.contains(vm)
                && !draining.contains(vm)
                && !tried.contains(vm)
                && !isSuspended(vm, now);
    }

    private boolean isSuspended(VmId vm, Instant now) {
        Instant until = suspendedUntil.get(vm);
        return until != null && now.isBefore(until);
    }

    private boolean hasLoaded(AgentEndpoint agent, ModelName model) {
        return load(agent.vm()).loaded().contains(model);
    }

    private double utilization(AgentEndpoint agent) {
        return load(agent.vm()).utilization(outstanding.getOrDefault(agent.vm(), 0));
    }

    private Optional<VmId> leastLoaded(
            List<AgentEndpoint> candidates, Predicate<AgentEndpoint> filter) {
        return candidates.stream()
                .filter(filter)
                .min(
                        Comparator.comparingDouble(this::utilization)
                                .thenComparing(agent -> !agent.zone().equals(localZone)))
                .map(AgentEndpoint::vm);
    }

    // Rendezvous hashing: when a VM joins or leaves, only the models on that VM move.
    private static int rendezvousWeight(String name, AgentEndpoint agent) {
        return MurmurHash3$.MODULE$.stringHash(name + '@' + agent.vm().value(), HASH_SEED);
    }
}
