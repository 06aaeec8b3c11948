package io.damaskyoke.control.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the recently accepted ticket numbers, so that a ticket sent again is recognized and a
 * number reused for other content is refused.
 *
 * <p>It holds the highest {@value #CAPACITY} numbers, which is nearly four days at 4,200 tickets a
 * day. Of a number up to the floor it is no longer known whether it was used, so such a ticket
 * counts as outdated; without the floor the history would grow without bound. The content depends
 * only on the log, so all processes reach the same decision.
 */
public final class TicketHistory {
    static final int CAPACITY = 16_384;

    private final TreeMap<Long, Accepted> accepted = new TreeMap<>();
    private long floor;

    /** Creates an empty history. */
    TicketHistory() {
        this(0);
    }

    /** Creates an empty history that treats all numbers up to the floor as possibly used. */
    TicketHistory(long floor) {
        this.floor = floor;
    }

    /** The number, log sequence number and digest of an accepted ticket. */
    record Accepted(long number, long sequence, String digest) {}

    void add(Accepted ticket) {
        accepted.put(ticket.number(), ticket);
        if (accepted.size() > CAPACITY) {
            floor = accepted.pollFirstEntry().getKey();
        }
    }

    Optional<Accepted> find(long number) {
        return Optional.ofNullable(accepted.get(number));
    }

    /** Returns an independent copy. */
    TicketHistory copy() {
        TicketHistory copy = new TicketHistory(floor);
        copy.accepted.putAll(accepted);
        return copy;
    }

    /** Returns all held tickets in order of their numbers. */
    Collection<Accepted> acceptedTickets() {
        return List.copyOf(accepted.values());
    }

    /** Returns the highest number that is no longer held; 0 if none was dropped. */
    long floor() {
        return floor;
    }

    /** Returns true if it is no longer known whether the number was used. */
    boolean isForgotten(long number) {
        return number <= floor;
    }
}
