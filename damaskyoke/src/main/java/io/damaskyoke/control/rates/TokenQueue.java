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
    private static final double NANOS_PER_SECOND = 1e9;

    /** In tokens per second. It keeps the order defined for a workspace without a rate. */
    private static final double MIN_RATE = 1;

    private final List<QueuedRequest> requests = new ArrayList<>();
    private double rate;

    /** Sets the rate, in tokens per second. */
    void setRate(double tokensPerSecond) {
        rate = tokensPerSecond;
    }

    void add(QueuedRequest request) {
        requests.add(request);
    }

    /** Removes a request. Returns false if it is not queued. */
    boolean remove(QueuedRequest request) {
        return requests.remove(request);
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    int size() {
        return requests.size();
    }

    /** Returns the tokens that all queued requests need together. */
    long totalTokens() {
        return requests.stream().mapToLong(QueuedRequest::tokens).sum();
    }

    /** Returns the request to serve next, or null if the queue is empty. */
    QueuedRequest first(Instant now) {
        return requests.stream().min(order(now)).orElse(null);
    }

    /** Returns all requests in the order in which they are served. */
    List<QueuedRequest> inOrder(Instant now) {
        return requests.stream().sorted(order(now)).toList();
    }

    private Comparator<QueuedRequest> order(Instant now) {
        return Comparator.comparing((QueuedRequest request) -> isLate(request, now))
                .thenComparing(request -> isLate(request, now) ? Instant.MIN : dueTime(request))
                .thenComparingLong(QueuedRequest::arrivalNumber);
    }

    /** Returns whether another router's request for the transfer with this id is queued. */
    boolean containsTransfer(String transferId) {
        return requests.stream()
                .anyMatch(
                        request ->
                                request.borrower()
                                        .filter(
                                                borrower ->
                                                        borrower.transferId().equals(transferId))
                                        .isPresent());
    }

    private Instant dueTime(QueuedRequest request) {
        double seconds = request.tokens() / Math.max(MIN_RATE, rate);
        return request.inTimeDeadline().plusNanos((long) (seconds * NANOS_PER_SECOND));
    }

    private static boolean isLate(QueuedRequest request, Instant now) {
        return !now.isBefore(request.inTimeDeadline());
    }
}
