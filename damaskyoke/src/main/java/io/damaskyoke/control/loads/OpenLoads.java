package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Orders to load that were sent and not answered, which an upstream may carry out seconds later:
 * {@code open.sent(number, load)}, {@code open.closed(upstream, number)}.
 *
 * <p>Within one life of an upstream its count of orders makes them harmless: the first order of a
 * count that is carried out ends all others of that count. A restart begins the count anew, and an
 * order from before it may find its count again, at an upstream that holds other models. So may an
 * order that was planned by too high a count. What may still be ordered so takes room, until the
 * count is past it or it is too old.
 */
final class OpenLoads {
    /** Orders are carried out up to a dozen seconds late. */
    private static final Duration LATEST = Duration.ofSeconds(15);

    private final Map<UpstreamId, List<Entry>> byUpstream = new HashMap<>();

    /** An order of this leader has a number; one that another leader told of has none. */
    private record Entry(OptionalLong number, OpenLoad load) {}

    /** Room that must be left: memory in MB, and places for adapters. */
    record Reserve(double megabytes, int places) {
        static final Reserve NONE = new Reserve(0, 0);
    }

    /** This leader gives the order under this number. */
    void sent(long number, OpenLoad load) {
        add(new Entry(OptionalLong.of(number), load));
    }

    /** Another leader gave the order and had no answer. */
    void told(OpenLoad load) {
        add(new Entry(OptionalLong.empty(), load));
    }

    /** An upstream has answered the order of that number. */
    void closed(UpstreamId upstream, long number) {
        List<Entry> entries = byUpstream.get(upstream);
        if (entries != null) {
            entries.removeIf(each -> each.number().equals(OptionalLong.of(number)));
        }
    }

    /** The order of that number, if it is still open. */
    Optional<OpenLoad> find(UpstreamId upstream, long number) {
        return byUpstream.getOrDefault(upstream, List.of()).stream()
                .filter(each -> each.number().equals(OptionalLong.of(number)))
                .map(Entry::load)
                .findFirst();
    }

    private void add(Entry entry) {
        byUpstream.computeIfAbsent(entry.load().upstream(), any -> new ArrayList<>()).add(entry);
    }

    /** Forgets what is too old. */
    void expire(Instant now) {
        byUpstream
                .values()
                .forEach(all -> all.removeIf(each -> each.load().at().plus(LATEST).isBefore(now)));
        byUpstream.values().removeIf(List::isEmpty);
    }

    /** What may come upon an engine at counts that it was not planned for. */
    Reserve reserve(Engine engine) {
        List<Entry> entries = byUpstream.get(engine.id());
        if (entries == null) {
            return Reserve.NONE;
        }
        // Of the orders that name one count, one at the most is carried out.
        Map<Long, Double> megabytes = new TreeMap<>();
        Map<Long, Integer> places = new TreeMap<>();
        for (Entry entry : entries) {
            OpenLoad load = entry.load();
            if (mayCome(load, engine)) {
                megabytes.merge(load.sequence(), engine.megabytes(load.model()), Math::max);
                places.merge(load.sequence(), load.model().hasAdapter() ? 1 : 0, Math::max);
            }
        }
        return new Reserve(
                megabytes.values().stream().mapToDouble(each -> each).sum(),
                places.values().stream().mapToInt(each -> each).sum());
    }

    // Of its own life, an order that names a later count was planned by a wrong one: an unload that
    // was answered as done may have been no news, and is counted here and not there.
    private static boolean mayCome(OpenLoad load, Engine engine) {
        long now = engine.held().sequence();
        return load.sequence() > now || load.sequence() == now && load.life() != engine.life();
    }
}
