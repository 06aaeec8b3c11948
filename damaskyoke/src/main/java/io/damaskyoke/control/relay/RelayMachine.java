package io.damaskyoke.control.relay;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList.Role;
import io.damaskyoke.platform.VmList.Vm;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides where a process gets its configuration from: from the store if the {@link RelayPlan}
 * makes it a relay of its zone; otherwise from the processes that the plan assigns to it, here
 * called its relays too, and from the store only if they do not answer.
 *
 * <p>A peer's confirmation counts from the moment at which the peer was <em>asked</em>, less the
 * age that it reports. Counted from its arrival, an answer that had waited in the buffers of a
 * process stopped for a minute would confirm a configuration that is a minute old: a withdrawn key
 * would go on working.
 */
public final class RelayMachine implements StateMachine<RelayInput, RelayAction> {
    private static final int MAX_PENDING_PROBES = 64;
    private static final int MAX_DOUBLINGS = 4;

    private final VmId self;
    private final AvailabilityZone zone;
    private final RelaySettings settings;
    private final RandomGenerator random;
    private final Map<Long, SentProbe> probes = new LinkedHashMap<>();
    private final Map<VmId, Instant> lastAnswers = new HashMap<>();
    private final Set<VmId> unresponsive = new HashSet<>();
    private List<Vm> relays = List.of();
    private List<Vm> routers = List.of();
    private boolean actingAsRelay;
    private long lastProbe;
    private int nextRelayIndex;
    private int storeAttempts;
    private Optional<Instant> startedAt = Optional.empty();
    private Optional<Instant> confirmed = Optional.empty();
    private Instant nextProbeAt = Instant.MIN;
    private Instant nextStoreReadAt = Instant.MAX;

    private record SentProbe(Vm peer, Instant at) {}

    private RelayMachine(
            VmId self, AvailabilityZone zone, RelaySettings settings, RandomGenerator random) {
        this.self = self;
        this.zone = zone;
        this.settings = settings;
        this.random = random;
    }

    /** Creates a state machine for the process on this VM, which knows no other process yet. */
    public static RelayMachine of(
            VmId self, AvailabilityZone zone, RelaySettings settings, RandomGenerator random) {
        return new RelayMachine(self, zone, settings, random);
    }

    @Override
    public List<RelayAction> on(RelayInput input, Instant now) {
        startedAt = startedAt.or(() -> Optional.of(now));
        List<RelayAction> actions = new ArrayList<>();
        if (input instanceof RelayInput.VmsListed listed) {
            update(listed.vms(), actions);
        } else if (input instanceof RelayInput.ProbeAnswered answer) {
            acceptAnswer(answer, now, actions);
        } else if (input instanceof RelayInput.NewerEntryAnnounced announced) {
            catchUp(announced.peer(), now, actions);
        } else if (input instanceof RelayInput.StoreConfirmed store) {
            confirm(store.asOf());
        } else {
            tick(now, actions);
        }
        return actions;
    }

    /** Returns true while this process is a relay of its zone. */
    public boolean isRelay() {
        return actingAsRelay;
    }

    /**
     * Returns true if one of the relays that this process follows answered when it was last asked.
     */
    public boolean hasResponsiveRelay() {
        return relays.stream()
                .map(Vm::id)
                .anyMatch(vm -> lastAnswers.containsKey(vm) && !unresponsive.contains(vm));
    }

    private void update(List<Vm> listed, List<RelayAction> actions) {
        RelayPlan plan = RelayPlan.of(listed, zone);
        boolean selfChosen = plan.relays().stream().anyMatch(vm -> vm.id().equals(self));
        List<Vm> others = plan.parents(self);
        routers =
                listed.stream()
                        .filter(vm -> vm.role() == Role.ROUTER && !vm.id().equals(self))
                        .toList();
        if (!others.equals(relays)) {
            relays = others;
            actions.add(new RelayAction.FollowRelays(others));
        }
        if (selfChosen != actingAsRelay) {
            actingAsRelay = selfChosen;
            actions.add(new RelayAction.WatchStore(actingAsRelay));
        }
    }

    private void acceptAnswer(
            RelayInput.ProbeAnswered answer, Instant now, List<RelayAction> actions) {
        SentProbe sent = probes.remove(answer.probe());
        if (sent == null || !sent.peer().id().equals(answer.from())) {
            return;
        }
        lastAnswers.put(answer.from(), now);
        unresponsive.remove(answer.from());
        answer.confirmedAge()
                .map(sent.at()::minus)
                .ifPresent(
                        asOf -> {
                            confirm(asOf);
                            actions.add(new RelayAction.Confirm(answer.head(), asOf));
                        });
    }

    private void catchUp(VmId peer, Instant now, List<RelayAction> actions) {
        relays.stream()
                .filter(vm -> vm.id().equals(peer))
                .findFirst()
                .ifPresent(vm -> probe(vm, now, actions));
    }

    private void tick(Instant now, List<RelayAction> actions) {
        probeAnotherRelay(now, actions);
        if (!now.isBefore(nextProbeAt)) {
            nextProbeAt = now.plus(jittered(settings.probeInterval()));
            nextRelay().ifPresent(vm -> probe(vm, now, actions));
            if (isUnconfirmed(now)) {
                randomRouter().ifPresent(vm -> probe(vm, now, actions));
            }
        }
        if (!actingAsRelay && (areRelaysSilent(now) || isUnconfirmed(now))) {
            readStoreIfDue(now, actions);
        } else {
            nextStoreReadAt = Instant.MAX;
            storeAttempts = 0;
        }
    }

    /**
     * Probes another relay when one is late, so that a frozen relay costs its followers one answer
     * timeout, not a whole probe interval.
     */
    private void probeAnotherRelay(Instant now, List<RelayAction> actions) {
        Instant limit = now.minus(settings.answerTimeout());
        List<Vm> late =
                probes.values().stream()
                        .filter(sent -> sent.at().isBefore(limit))
                        .map(SentProbe::peer)
                        .filter(vm -> unresponsive.add(vm.id()))
                        .toList();
        if (!late.isEmpty()) {
            relays.stream()
                    .filter(vm -> !unresponsive.contains(vm.id()))
                    .findFirst()
                    .ifPresent(vm -> probe(vm, now, actions));
        }
    }

    private void probe(Vm peer, Instant now, List<RelayAction> actions) {
        probes.put(++lastProbe, new SentProbe(peer, now));
        if (probes.size() > MAX_PENDING_PROBES) {
            probes.remove(probes.keySet().iterator().next());
        }
        actions.add(new RelayAction.ProbePeer(peer, lastProbe));
    }

    private void readStoreIfDue(Instant now, List<RelayAction> actions) {
        boolean silent = areRelaysSilent(now);
        if (nextStoreReadAt.equals(Instant.MAX)) {
            nextStoreReadAt = now.plus(firstStoreDelay(silent));
        }
        if (now.isBefore(nextStoreReadAt)) {
            return;
        }
        actions.add(new RelayAction.ReadStore());
        nextStoreReadAt = now.plus(jittered(storeInterval(silent)));
        storeAttempts++;
    }

    private Duration firstStoreDelay(boolean silent) {
        if (relays.isEmpty()) {
            return Duration.ZERO;
        }
        Duration max = silent ? settings.answerTimeout() : settings.unconfirmedStoreInterval();
        return Duration.ofMillis(random.nextLong(max.toMillis()));
    }

    // Relays that answer but are unconfirmed usually can't reach the store either. In an outage
    // this holds for the whole fleet, which must not spend the store's capacity on asking.
    private Duration storeInterval(boolean silent) {
        Duration first =
                silent ? settings.silentStoreInterval() : settings.unconfirmedStoreInterval();
        Duration pause = first.multipliedBy(1L << Math.min(storeAttempts, MAX_DOUBLINGS));
        Duration longest = settings.maxStoreInterval();
        return pause.compareTo(longest) < 0 ? pause : longest;
    }

    private void confirm(Instant asOf) {
        if (confirmed.isEmpty() || confirmed.get().isBefore(asOf)) {
            confirmed = Optional.of(asOf);
            storeAttempts = 0;
        }
    }

    private boolean isUnconfirmed(Instant now) {
        Instant since = confirmed.orElse(startedAt.orElse(now));
        return now.isAfter(since.plus(settings.maxUnconfirmed()));
    }

    /**
     * Returns true if no relay has answered within the silence limit. A relay that was never asked
     * counts as silent.
     */
    private boolean areRelaysSilent(Instant now) {
        Instant limit = now.minus(settings.silenceTimeout());
        return relays.stream()
                .map(vm -> lastAnswers.getOrDefault(vm.id(), startedAt.orElse(now)))
                .noneMatch(at -> at.isAfter(limit));
    }

    private Optional<Vm> nextRelay() {
        List<Vm> ready = relays.stream().filter(vm -> !unresponsive.contains(vm.id())).toList();
        List<Vm> choice = ready.isEmpty() || nextRelayIndex % MAX_DOUBLINGS == 0 ? relays : ready;
        return choice.isEmpty()
                ? Optional.empty()
                : Optional.of(choice.get(Math.floorMod(nextRelayIndex++, choice.size())));
    }

    private Optional<Vm> randomRouter() {
        return routers.isEmpty()
                ? Optional.empty()
                : Optional.of(routers.get(random.nextInt(routers.size())));
    }

    private Duration jittered(Duration duration) {
        long half = duration.toMillis() / 2;
        return Duration.ofMillis(half + random.nextLong(half + 1));
    }
}
