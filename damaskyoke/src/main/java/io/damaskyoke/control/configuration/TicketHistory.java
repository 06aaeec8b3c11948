package io.damaskyoke.control.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which ticket numbers were accepted lately, so that the same ticket sent again is known and a
 * number used for other content is refused.
 *
 * <p>It holds the highest {@value #CAPACITY} numbers, which is near four days of 4,200 tickets. A
 * number below all those held can't be told from a used one, so such a ticket counts as outdated;
 * without that floor the history would grow as long as the system lives. What is held depends on
 * the log alone, hence all processes judge alike.
 */
public final class TicketHistory {
    static final int CAPACITY = 16_384;

    private final TreeMap<Long, Accepted> accepted = new TreeMap<>();
    private long floor;

    /** An empty history. */
    TicketHistory() {
        this(0);
    }

    /** An empty history that knows nothing of numbers up to the floor. */
    TicketHistory(long floor) {
        this.floor = floor;
    }

    /** One accepted ticket. */
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

    /** One that later additions to this one leave as it is. */
    TicketHistory copy() {
        TicketHistory copy = new TicketHistory(floor);
        copy.accepted.putAll(accepted);
        return copy;
    }

    /** All that are held, by number. */
    Collection<Accepted> all() {
        return List.copyOf(accepted.values());
    }

    /** The highest number that is no longer held; 0 if none was dropped. */
    long floor() {
        return floor;
    }

    /** True if nobody can say any more whether the number was used. */
    boolean forgotten(long number) {
        return number <= floor;
    }
}
