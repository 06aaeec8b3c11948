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
 * Load orders that were sent and not answered, and that an upstream may carry out seconds later:
 * {@code open.sent(number, load)}, {@code open.closed(upstream, number)}.
 *
 * <p>Within one incarnation of an upstream its count of accepted orders makes them harmless: of all
 * orders that name the same count, the upstream carries out only the first. A restart resets the
 * count. An order from before the restart may then match the count again, on an upstream that holds
 * other models, and so may an order that was planned with too high a count. Memory is reserved for
 * such orders until the upstream's count is past theirs or they expire.
 */
final class OpenLoads {
    /** Expiry of an unanswered order. Orders are carried out up to a dozen seconds late. */
    private static final Duration LATEST = Duration.ofSeconds(15);

    private final Map<UpstreamId, List<Entry>> byUpstream = new HashMap<>();

    /** An order of this leader has a number; one announced by another leader has none. */
    private record Entry(OptionalLong number, OpenLoad load) {}

    /** What must be kept free on an engine: memory in MB, and adapter slots. */
    record Reserve(double megabytes, int places) {
        static final Reserve NONE = new Reserve(0, 0);
    }

    /** Records that this leader sends the order with this number. */
    void sent(long number, OpenLoad load) {
        add(new Entry(OptionalLong.of(number), load));
    }

    /** Records an order that another leader sent and had no answer to. */
    void told(OpenLoad load) {
        add(new Entry(OptionalLong.empty(), load));
    }

    /** Removes the order with that number, which the upstream has answered. */
    void closed(UpstreamId upstream, long number) {
        List<Entry> entries = byUpstream.get(upstream);
        if (entries != null) {
            entries.removeIf(each -> each.number().equals(OptionalLong.of(number)));
        }
    }

    /** Returns the order with that number if it is still unanswered. */
    Optional<OpenLoad> find(UpstreamId upstream, long number) {
        return byUpstream.getOrDefault(upstream, List.of()).stream()
                .filter(each -> each.number().equals(OptionalLong.of(number)))
                .map(Entry::load)
                .findFirst();
    }

    private void add(Entry entry) {
        byUpstream.computeIfAbsent(entry.load().upstream(), any -> new ArrayList<>()).add(entry);
    }

    /** Removes the orders that have expired. */
    void expire(Instant now) {
        byUpstream
                .values()
                .forEach(all -> all.removeIf(each -> each.load().at().plus(LATEST).isBefore(now)));
        byUpstream.values().removeIf(List::isEmpty);
    }

    /**
     * Returns what orders that may still be carried out, at counts that they were not planned for,
     * can take on the engine.
     */
    Reserve reserve(Engine engine) {
        List<Entry> entries = byUpstream.get(engine.id());
        if (entries == null) {
            return Reserve.NONE;
        }
        // Of the orders that name one count, at most one is carried out.
        Map<Long, Double> megabytes = new TreeMap<>();
        Map<Long, Integer> places = new TreeMap<>();
        for (Entry entry : entries) {
            OpenLoad load = entry.load();
            if (mayCome(load, engine)) {
                megabytes.merge(load.sequence(), engine.megabytes(load.model()), Math::max);
                places.merge(load.sequence(), load.model().adapted() ? 1 : 0, Math::max);
            }
        }
        return new Reserve(
                megabytes.values().stream().mapToDouble(each -> each).sum(),
                places.values().stream().mapToInt(each -> each).sum());
    }

    // Within the current incarnation, an order that names a later count was planned with a wrong
    // one: an unload that was answered as done may have changed nothing, and is then counted here
    // but not on the upstream.
    private static boolean mayCome(OpenLoad load, Engine engine) {
        long now = engine.held().sequence();
        return load.sequence() > now || load.sequence() == now && load.life() != engine.life();
    }
}
