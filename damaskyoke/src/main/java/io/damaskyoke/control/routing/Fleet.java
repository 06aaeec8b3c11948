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
 * The agents that a router knows, and what it knows of each: {@code fleet.holder(model, tried,
 * now)}. Belongs to the control thread.
 */
public final class Fleet {
    private static final int HASH_SEED = 0x2f0b4c47;

    private final AvailabilityZone here;
    private final Map<VmId, Member> members = new TreeMap<>();
    private final Map<VmId, AgentLoad> loads = new HashMap<>();
    private final Map<VmId, Integer> outstanding = new HashMap<>();
    private final Map<VmId, Instant> suspended = new HashMap<>();
    private final Set<VmId> draining = new HashSet<>();
    private Set<VmId> leaving = Set.of();
    private Map<ModelName, Set<VmId>> holders = Map.of();
    private Map<PoolName, List<Member>> pools = Map.of();

    private Fleet(AvailabilityZone here) {
        this.here = here;
    }

    /** An empty fleet, seen from this availability zone. */
    public static Fleet from(AvailabilityZone here) {
        return new Fleet(here);
    }

    /** Takes in who is there now and who is leaving; what is known of those that stay is kept. */
    public void update(Collection<Member> present, Set<VmId> listedAsLeaving) {
        members.clear();
        present.forEach(member -> members.put(member.vm(), member));
        pools = members.values().stream().collect(Collectors.groupingBy(Member::pool));
        loads.keySet().retainAll(members.keySet());
        suspended.keySet().retainAll(members.keySet());
        draining.retainAll(members.keySet());
        leaving = Set.copyOf(listedAsLeaving);
    }

    /** Takes in who may hold a replica of each model; requests go nowhere else. */
    public void placed(Map<ModelName, Set<VmId>> newHolders) {
        holders = Map.copyOf(newHolders);
    }

    /** True if some VM may hold the model. */
    public boolean isPlaced(ModelName model) {
        return holders.containsKey(model);
    }

    /** Takes in what an agent says of its load. */
    public void loaded(VmId vm, AgentLoad load) {
        loads.put(vm, load);
    }

    /** An agent says that it takes no new work. */
    public void draining(VmId vm) {
        draining.add(vm);
    }

    /** A new life of an agent, which takes work again whatever its last life said. */
    public void returned(VmId vm) {
        draining.remove(vm);
        suspended.remove(vm);
        loads.remove(vm);
    }

    /** Keeps an agent that can't be reached out of the choice for a while. */
    public void suspend(VmId vm, Instant now, Duration time) {
        suspended.put(vm, now.plus(time));
    }

    /** Counts a request that was sent to an agent and not answered yet. */
    public void sent(VmId vm) {
        outstanding.merge(vm, 1, Integer::sum);
    }

    /** Counts a request that an agent is done with. */
    public void done(VmId vm) {
        outstanding.computeIfPresent(vm, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** True while a request that was sent to an agent is not over. */
    public boolean isBusy(VmId vm) {
        return outstanding.containsKey(vm);
    }

    /** Where an agent is reached, if it is known. */
    public Optional<Member> member(VmId vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /** All agents known, by VM. */
    public List<Member> members() {
        return List.copyOf(members.values());
    }

    /** What an agent last said of its load. */
    public AgentLoad load(VmId vm) {
        return loads.getOrDefault(vm, AgentLoad.UNKNOWN);
    }

    /**
     * The agent for a model. One that has it in memory and is not full is best; else one that is
     * loading it; else the first of those with a right to it, on which all routers agree without
     * talking, so that a burst of first requests at many routers meets at one agent.
     */
    public Optional<VmId> holder(Model model, Set<VmId> tried, Instant now) {
        List<Member> homes = homes(model, tried, now);
        ModelName name = model.name();
        return best(homes, member -> holds(member, name) && pressure(member) < 1.0)
                .or(() -> best(homes, member -> load(member.vm()).loading().contains(name)))
                .or(() -> best(homes, member -> holds(member, name)))
                .or(() -> homes.stream().findFirst().map(Member::vm));
    }

    /** The agent of a plain service with the least to do, the nearest zone first among equals. */
    public Optional<VmId> server(PoolName pool, Set<VmId> tried, Instant now) {
        List<Member> servers =
                pools.getOrDefault(pool, List.of()).stream()
                        .filter(member -> isChoosable(member.vm(), tried, now))
                        .toList();
        return best(servers, member -> true);
    }

    private List<Member> homes(Model model, Set<VmId> tried, Instant now) {
        String name = model.base().orElse(model.name()).value();
        return holders.getOrDefault(model.name(), Set.of()).stream()
                .map(members::get)
                .filter(member -> member != null && member.pool().equals(model.pool()))
                .filter(member -> isChoosable(member.vm(), tried, now))
                .sorted(Comparator.comparingInt((Member member) -> weight(name, member)).reversed())
                .toList();
    }

    private boolean isChoosable(VmId vm, Set<VmId> tried, Instant now) {
        return !leaving.contains(vm)
                && !draining.contains(vm)
                && !tried.contains(vm)
                && !isSuspended(vm, now);
    }

    private boolean isSuspended(VmId vm, Instant now) {
        Instant until = suspended.get(vm);
        return until != null && now.isBefore(until);
    }

    private boolean holds(Member member, ModelName model) {
        return load(member.vm()).loaded().contains(model);
    }

    private double pressure(Member member) {
        return load(member.vm()).pressure(outstanding.getOrDefault(member.vm(), 0));
    }

    private Optional<VmId> best(List<Member> choice, Predicate<Member> fit) {
        return choice.stream()
                .filter(fit)
                .min(
                        Comparator.comparingDouble(this::pressure)
                                .thenComparing(member -> !member.zone().equals(here)))
                .map(Member::vm);
    }

    // Rendezvous hashing: when a VM comes or goes, only the models at home there move.
    private static int weight(String name, Member member) {
        return MurmurHash3$.MODULE$.stringHash(name + '@' + member.vm().value(), HASH_SEED);
    }
}
