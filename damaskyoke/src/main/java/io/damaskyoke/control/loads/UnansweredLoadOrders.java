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
import java.util.function.Predicate;

/**
 * Load orders that were sent and not answered, and that an upstream may carry out seconds later:
 * {@code orders.addSent(number, order)}, {@code orders.removeAnswered(upstream, number)}.
 *
 * <p>Within one incarnation of an upstream its count of accepted orders makes them harmless: of all
 * orders that name the same count, the upstream carries out only the first. A restart resets the
 * count. An order from before the restart may then match the count again, on an upstream that holds
 * other models, and so may an order that was planned with too high a count. Memory is reserved for
 * such orders until the upstream's count is past theirs or they expire.
 */
final class UnansweredLoadOrders {
    /** Expiry of an unanswered order. Orders are carried out up to a dozen seconds late. */
    static final Duration EXPIRY = Duration.ofSeconds(15);

    private final Map<UpstreamId, List<Entry>> byUpstream = new HashMap<>();

    /** An order of this leader has a number; one announced by another leader has none. */
    private record Entry(OptionalLong number, UnansweredLoadOrder order) {}

    /** What must be kept free on an engine: memory in MB, and adapter slots. */
    record Reservation(double megabytes, int adapterSlots) {
        static final Reservation NONE = new Reservation(0, 0);
    }

    /** Records that this leader sends the order with this number. */
    void addSent(long number, UnansweredLoadOrder order) {
        add(new Entry(OptionalLong.of(number), order));
    }

    /** Records an order that another leader sent and had no answer to. */
    void addAnnounced(UnansweredLoadOrder order) {
        add(new Entry(OptionalLong.empty(), order));
    }

    /** Removes the order with that number, which the upstream has answered. */
    void removeAnswered(UpstreamId upstream, long number) {
        List<Entry> entries = byUpstream.get(upstream);
        if (entries != null) {
            entries.removeIf(each -> each.number().equals(OptionalLong.of(number)));
        }
    }

    /** Returns the order with that number if it is still unanswered. */
    Optional<UnansweredLoadOrder> find(UpstreamId upstream, long number) {
        return byUpstream.getOrDefault(upstream, List.of()).stream()
                .filter(each -> each.number().equals(OptionalLong.of(number)))
                .map(Entry::order)
                .findFirst();
    }

    private void add(Entry entry) {
        byUpstream.computeIfAbsent(entry.order().upstream(), any -> new ArrayList<>()).add(entry);
    }

    /** Removes the orders that have expired. */
    void removeExpired(Instant now) {
        byUpstream
                .values()
                .forEach(
                        all ->
                                all.removeIf(
                                        each -> each.order().sentAt().plus(EXPIRY).isBefore(now)));
        byUpstream.values().removeIf(List::isEmpty);
    }

    /**
     * Returns what orders that may still be carried out, at counts that they were not planned for,
     * can take on the engine.
     */
    Reservation reservationFor(EngineState engine) {
        return reservationFor(engine, order -> mayBeCarriedOut(order, engine));
    }

    /**
     * Returns what the unanswered orders can take on the engine if it restarts, apart from those
     * that name its current count.
     *
     * <p>A restarted engine is empty and at count zero, so it may carry out an order at each count
     * in turn, without another order of the leader. Only the models that are ordered beforehand can
     * be kept few enough to fit together. The next order names the current count: the engine
     * carries out either that one or one of those that name it already.
     */
    Reservation reservationAfterRestart(EngineState engine) {
        return reservationFor(engine, order -> order.sequence() != engine.held().sequence());
    }

    private Reservation reservationFor(EngineState engine, Predicate<UnansweredLoadOrder> counted) {
        List<Entry> entries = byUpstream.get(engine.id());
        if (entries == null) {
            return Reservation.NONE;
        }
        // Of the orders that name one count, at most one is carried out.
        Map<Long, Double> megabytes = new TreeMap<>();
        Map<Long, Integer> adapterSlots = new TreeMap<>();
        for (Entry entry : entries) {
            UnansweredLoadOrder order = entry.order();
            if (counted.test(order)) {
                megabytes.merge(order.sequence(), engine.largestMb(order.model()), Math::max);
                adapterSlots.merge(order.sequence(), order.model().hasAdapter() ? 1 : 0, Math::max);
            }
        }
        return new Reservation(
                megabytes.values().stream().mapToDouble(each -> each).sum(),
                adapterSlots.values().stream().mapToInt(each -> each).sum());
    }

    // Within the current incarnation, an order that names a later count was planned with a wrong
    // one: an unload that was answered as done may have changed nothing, and is then counted here
    // but not on the upstream.
    private static boolean mayBeCarriedOut(UnansweredLoadOrder order, EngineState engine) {
        long acceptedOrders = engine.held().sequence();
        return order.sequence() > acceptedOrders
                || order.sequence() == acceptedOrders
                        && order.incarnation() != engine.incarnation();
    }
}
