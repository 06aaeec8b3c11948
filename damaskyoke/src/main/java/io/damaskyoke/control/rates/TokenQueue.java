package io.damaskyoke.control.rates;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The requests that wait for a workspace's tokens, ordered by urgency: {@code queue.first(now)} is
 * served next.
 *
 * <p>Requests of several thousand tokens, some of which can wait for seconds, compete with small
 * ones that are late after a tenth of a second. Each request has a due time: the latest time at
 * which it can be admitted for its answer to be in time, plus the time in which its tokens accrue.
 * So a small urgent request does not wait until a large patient one has its tokens, and a large one
 * moves to the front as its own deadline draws near. Requests that can no longer be in time come
 * after all others, in the order of arrival.
 */
final class TokenQueue {
    private static final double NANOS = 1e9;

    /** In tokens per second. It keeps the order defined for a workspace without a rate. */
    private static final double LEAST_RATE = 1;

    private final List<Held> waiting = new ArrayList<>();
    private double rate;

    /** Sets the rate, in tokens per second. */
    void rate(double tokensPerSecond) {
        rate = tokensPerSecond;
    }

    void add(Held request) {
        waiting.add(request);
    }

    /** Removes a request. Returns false if it is not queued. */
    boolean remove(Held request) {
        return waiting.remove(request);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Returns the tokens that all queued requests need together. */
    long tokens() {
        return waiting.stream().mapToLong(Held::tokens).sum();
    }

    /** Returns the request to serve next, or null if the queue is empty. */
    Held first(Instant now) {
        return waiting.stream().min(order(now)).orElse(null);
    }

    /** Returns all requests in the order in which they are served. */
    List<Held> inOrder(Instant now) {
        return waiting.stream().sorted(order(now)).toList();
    }

    private Comparator<Held> order(Instant now) {
        return Comparator.comparing((Held request) -> late(request, now))
                .thenComparing(request -> late(request, now) ? Instant.MIN : turn(request))
                .thenComparingLong(Held::number);
    }

    /** Returns whether another router's request for the transfer with this id is queued. */
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
