package io.damaskyoke.control.rates;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait for a workspace's tokens: {@code queue.first(now)} goes next.
 *
 * <p>The pattern: requests of some thousand tokens, of which some can wait for seconds, beside
 * small ones that are late after a tenth of a second. Each has a turn: when it must be let in for
 * its answer to be in time, and as long after that as its tokens take to come in. So a small urgent
 * request doesn't wait until a large patient one has gathered its tokens, and a large one comes to
 * the front as its own time draws near. Those that can no longer be in time come after all that
 * can, as they came.
 */
final class TokenQueue {
    private static final double NANOS = 1e9;

    /** In tokens a second; a workspace without a rate still has an order. */
    private static final double LEAST_RATE = 1;

    private final List<Held> waiting = new ArrayList<>();
    private double rate;

    /** Says how many tokens come in a second. */
    void rate(double tokensPerSecond) {
        rate = tokensPerSecond;
    }

    void add(Held request) {
        waiting.add(request);
    }

    /** Takes it out; false if it is here no more. */
    boolean remove(Held request) {
        return waiting.remove(request);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Tokens that all of them need together. */
    long tokens() {
        return waiting.stream().mapToLong(Held::tokens).sum();
    }

    /** Who goes next, or null if nobody waits. */
    Held first(Instant now) {
        return waiting.stream().min(order(now)).orElse(null);
    }

    /** All of them, in the order in which they go. */
    List<Held> inOrder(Instant now) {
        return waiting.stream().sorted(order(now)).toList();
    }

    private Comparator<Held> order(Instant now) {
        return Comparator.comparing((Held request) -> late(request, now))
                .thenComparing(request -> late(request, now) ? Instant.MIN : turn(request))
                .thenComparingLong(Held::number);
    }

    /** True if another router's request with this name waits. */
    boolean holds(String loan) {
        return waiting.stream()
                .anyMatch(
                        request ->
                                request.borrower()
                                        .filter(by -> by.loan().equals(loan))
                                        .isPresent());
    }

    private Instant turn(Held request) {
        double seconds = request.tokens() / Math.max(LEAST_RATE, rate);
        return request.inTimeUntil().plusNanos((long) (seconds * NANOS));
    }

    private static boolean late(Held request, Instant now) {
        return !now.isBefore(request.inTimeUntil());
    }
}
