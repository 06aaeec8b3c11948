package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.ColdLimit;
import io.damaskyoke.control.notices.PauseGate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The table of all upstreams, filled from the platform's list. Belongs to the traffic thread. */
public final class UpstreamTable {
    /**
     * Bounds the gates kept for removed upstreams, as upstreams come and go for as long as the
     * process runs.
     */
    private static final int MAX_SPARE_GATES = 64;

    /** Bounds the upstreams that have stated something in their answers but were never listed. */
    private static final int MAX_UNLISTED_NOTICES = 4_096;

    private final Map<UpstreamId, Upstream> byId = new TreeMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    private final Map<UpstreamId, Long> removedAt = new HashMap<>();
    private final DrainedZones zones;
    private final Map<UpstreamId, UpstreamGates> gates = new HashMap<>();
    private Map<String, ColdLimit> coldLimits = Map.of();
    private Map<String, Long> tokenMemory = Map.of();
    private Instant lastPauseEnd = Instant.MIN;
    private long revision;

    /** Creates a table of upstreams whose zones may be drained. */
    public UpstreamTable(DrainedZones zones) {
        this.zones = zones;
    }

    /** Creates a table with no drained zone. */
    public UpstreamTable() {
        this(new DrainedZones(DrainedZones.DEFAULT_LIMIT));
    }

    /** Returns the drained zones. */
    public DrainedZones zones() {
        return zones;
    }

    /** Adds or updates the entry of an upstream; returns false if a newer one is known. */
    public boolean put(UpstreamFacts facts, Instant now) {
        revision = Math.max(revision, facts.revision());
        if (removedAt.getOrDefault(facts.id(), 0L) > facts.revision()) {
            return false;
        }
        Upstream known = byId.get(facts.id());
        if (known == null) {
            Upstream added = new Upstream(facts, zones, gates(facts, now), now);
            added.setTokenMemory(tokenMemory.getOrDefault(facts.service(), 0L));
            byId.put(facts.id(), added);
            index();
            return true;
        }
        String service = known.facts().service();
        boolean updated = known.update(facts, now);
        if (!service.equals(facts.service())) {
            index();
        }
        return updated;
    }

    /**
     * Removes an upstream that the list no longer has as of this store revision; returns false if
     * it is unknown or a newer entry is known.
     */
    public boolean remove(UpstreamId id, long at) {
        revision = Math.max(revision, at);
        Upstream known = byId.get(id);
        if (known == null || known.facts().revision() > at) {
            return false;
        }
        removedAt.put(id, at);
        known.markRemoved();
        byId.remove(id);
        index();
        return true;
    }

    /** Returns the upstreams that drain or were removed since this store revision. */
    public List<UpstreamDeparture> departures(long since) {
        List<UpstreamDeparture> found = new ArrayList<>();
        removedAt.forEach(
                (id, at) -> {
                    if (at > since && !byId.containsKey(id)) {
                        found.add(new UpstreamDeparture(id, at, true));
                    }
                });
        for (Upstream upstream : byId.values()) {
            UpstreamFacts facts = upstream.facts();
            if (facts.draining() && facts.revision() > since) {
                found.add(new UpstreamDeparture(facts.id(), facts.revision(), false));
            }
        }
        return found;
    }

    /** Returns what is known of an upstream's departure; empty if it is listed and stays. */
    public Optional<UpstreamDeparture> departureOf(UpstreamId id) {
        Upstream listed = byId.get(id);
        if (listed == null) {
            return Optional.ofNullable(removedAt.get(id))
                    .map(at -> new UpstreamDeparture(id, at, true));
        }
        UpstreamFacts facts = listed.facts();
        return facts.draining()
                ? Optional.of(new UpstreamDeparture(id, facts.revision(), false))
                : Optional.empty();
    }

    /** Sets the limits for cold upstreams, by service. */
    public void setColdLimits(Map<String, ColdLimit> given) {
        coldLimits = Map.copyOf(given);
        byId.values().forEach(each -> setColdLimit(gates.get(each.facts().id()), each.facts()));
    }

    /** Sets the memory for running requests of each service's upstreams, in tokens. */
    public void setTokenMemory(Map<String, Long> given) {
        tokenMemory = Map.copyOf(given);
        byId.values()
                .forEach(
                        each ->
                                each.setTokenMemory(
                                        tokenMemory.getOrDefault(each.facts().service(), 0L)));
    }

    /** Records that the upstreams of the zone may have become cold just now, without a report. */
    public void markPossiblyCold(String zone, Instant now) {
        byId.values().stream()
                .filter(each -> each.facts().zone().equals(zone))
                .forEach(each -> each.markPossiblyCold(now));
    }

    // Gates are kept when an upstream is removed from the list: otherwise one that returns under
    // its name a moment later would get another share within the same second. In an outage of the
    // store the whole list may go and come back; no pause and no departure is forgotten then.
    private UpstreamGates gates(UpstreamFacts facts, Instant now) {
        if (gates.size() > 2 * byId.size() + MAX_SPARE_GATES) {
            gates.entrySet()
                    .removeIf(
                            each ->
                                    !byId.containsKey(each.getKey())
                                            && !each.getValue().isKeptUnlisted(now));
        }
        UpstreamGates found = gates.computeIfAbsent(facts.id(), any -> new UpstreamGates());
        setColdLimit(found, facts);
        return found;
    }

    private void setColdLimit(UpstreamGates found, UpstreamFacts facts) {
        found.cold().setLimit(coldLimits.getOrDefault(facts.service(), ColdLimit.NONE));
    }

    /**
     * Records that an upstream has asked for a pause, also if it is not listed: its entry may come,
     * or come back.
     *
     * @return true if it was not paused before
     */
    public boolean pauseRequested(UpstreamId id, Duration pause, Instant now) {
        PauseGate gate = gatesOf(id).pause();
        boolean isNew = gate.pauseRequested(pause, listedStart(id), now);
        if (gate.pausedUntil().isAfter(lastPauseEnd)) {
            lastPauseEnd = gate.pausedUntil();
        }
        return isNew;
    }

    /**
     * Records that an upstream has said that it leaves, also if it is not listed.
     *
     * @return true if it had not said so before
     */
    public boolean departureStated(UpstreamId id, Instant now) {
        return gatesOf(id).departure().departureStated(listedStart(id), now);
    }

    // An upstream that answers under ever new names must not fill the memory.
    private UpstreamGates gatesOf(UpstreamId id) {
        boolean isFull = gates.size() >= 2 * byId.size() + MAX_UNLISTED_NOTICES;
        return isFull && !gates.containsKey(id)
                ? new UpstreamGates()
                : gates.computeIfAbsent(id, any -> new UpstreamGates());
    }

    /** Returns the start of the listed incarnation of an upstream; unknown if it is not listed. */
    public long listedStart(UpstreamId id) {
        Upstream listed = byId.get(id);
        return listed == null ? HeldModels.UNKNOWN_START : listed.facts().held().startedAt();
    }

    /** Returns false if no upstream is paused; takes no look at any upstream. */
    public boolean mayBePaused(Instant now) {
        return now.isBefore(lastPauseEnd);
    }

    /** Returns the upstreams of a service. */
    public List<Upstream> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the upstream with this id. */
    public Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns all upstreams. */
    public Collection<Upstream> all() {
        return byId.values();
    }

    /** Returns the store revision up to which the list was read. */
    public long revision() {
        return revision;
    }

    private void index() {
        byService.clear();
        for (Upstream upstream : byId.values()) {
            byService
                    .computeIfAbsent(upstream.facts().service(), any -> new ArrayList<>())
                    .add(upstream);
        }
    }
}
