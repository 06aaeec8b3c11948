package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.ColdLimit;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** All upstreams, by what the platform's list says. Belongs to the traffic thread. */
public final class UpstreamTable {
    /** Upstreams come and go for as long as the process lives. */
    private static final int MOST_GATES_KEPT = 64;

    private final Map<UpstreamId, Upstream> byId = new TreeMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    private final Map<UpstreamId, Long> removedAt = new HashMap<>();
    private final DrainedZones zones;
    private final Map<UpstreamId, Gates> gates = new HashMap<>();
    private Map<String, ColdLimit> coldLimits = Map.of();
    private long revision;

    /** A table of upstreams whose zones may be drained. */
    public UpstreamTable(DrainedZones zones) {
        this.zones = zones;
    }

    /** A table with no zone drained. */
    public UpstreamTable() {
        this(new DrainedZones(DrainedZones.USUAL_LIMIT));
    }

    /** The zones that are drained. */
    public DrainedZones zones() {
        return zones;
    }

    /** Takes in what an upstream says; false if something newer is known. */
    public boolean put(UpstreamFacts facts, Instant now) {
        revision = Math.max(revision, facts.revision());
        if (removedAt.getOrDefault(facts.id(), 0L) > facts.revision()) {
            return false;
        }
        Upstream known = byId.get(facts.id());
        if (known == null) {
            byId.put(facts.id(), new Upstream(facts, zones, gates(facts), now));
            index();
            return true;
        }
        String service = known.facts().service();
        boolean taken = known.update(facts, now);
        if (!service.equals(facts.service())) {
            index();
        }
        return taken;
    }

    /** The list has it no longer, as of this revision. */
    public boolean remove(UpstreamId id, long at) {
        revision = Math.max(revision, at);
        Upstream known = byId.get(id);
        if (known == null || known.facts().revision() > at) {
            return false;
        }
        removedAt.put(id, at);
        byId.remove(id);
        index();
        return true;
    }

    /** Those that drain or are gone since this revision. */
    public List<Departure> departures(long since) {
        List<Departure> found = new ArrayList<>();
        removedAt.forEach(
                (id, at) -> {
                    if (at > since && !byId.containsKey(id)) {
                        found.add(new Departure(id, at, true));
                    }
                });
        for (Upstream upstream : byId.values()) {
            UpstreamFacts facts = upstream.facts();
            if (facts.draining() && facts.revision() > since) {
                found.add(new Departure(facts.id(), facts.revision(), false));
            }
        }
        return found;
    }

    /** What cold upstreams bear, by service. */
    public void coldLimits(Map<String, ColdLimit> given) {
        coldLimits = Map.copyOf(given);
        byId.values().forEach(each -> gates(each.facts()));
    }

    /** The upstreams of the zone may have become cold just now, without a word. */
    public void mayBeCold(String zone, Instant now) {
        byId.values().stream()
                .filter(each -> each.facts().zone().equals(zone))
                .forEach(each -> each.mayBeCold(now));
    }

    // Kept when an upstream goes off the list: one that is back under its name a moment later would
    // else get another share within the second.
    private Gates gates(UpstreamFacts facts) {
        if (gates.size() > 2 * byId.size() + MOST_GATES_KEPT) {
            gates.keySet().retainAll(byId.keySet());
        }
        Gates found = gates.computeIfAbsent(facts.id(), any -> new Gates());
        found.cold().limit(coldLimits.getOrDefault(facts.service(), ColdLimit.NONE));
        return found;
    }

    /** The upstreams of a service. */
    public List<Upstream> of(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** The upstream of that name. */
    public Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** All of them. */
    public Collection<Upstream> all() {
        return byId.values();
    }

    /** The store's revision up to which the list was read. */
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
