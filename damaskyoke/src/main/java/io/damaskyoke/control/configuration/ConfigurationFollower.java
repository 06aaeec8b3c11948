package io.damaskyoke.control.configuration;

import io.damaskyoke.control.StateMachine;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Follows the log: takes entries in whatever order and from whomever they come, and applies them in
 * order, without gaps, never back.
 */
public final class ConfigurationFollower
        implements StateMachine<ConfigurationFollower.Offer, ConfigurationFollower.Action> {
    private static final TicketParser STORED = TicketParser.stored();

    private final LogTail tail = new LogTail();
    private TicketHistory history = new TicketHistory();
    private Configuration current = Configuration.EMPTY;
    private Optional<Instant> confirmedAt = Optional.empty();

    /**
     * Entries that came from a watch, a listing or a peer.
     *
     * @param entries in any order, perhaps known already
     * @param head the highest sequence number that the sender knows of
     * @param confirmedAsOf when it was known for sure that the log ends at {@code head}: the start
     *     of a linearizable read of the store, or what a confirmed peer said; empty if it was not
     */
    public record Offer(List<LogEntry> entries, long head, Optional<Instant> confirmedAsOf) {}

    /** What to do after an offer. */
    public sealed interface Action {
        /** Puts a newer configuration in force. */
        record Apply(Configuration configuration) implements Action {}

        /** Asks for the entries from this number on: there is a gap before those offered. */
        record Fetch(long from) implements Action {}

        /** Reports an entry that can't be read; nothing after it is applied. */
        record Unreadable(long sequence, String reason) implements Action {}
    }

    @Override
    public List<Action> on(Offer offer, Instant now) {
        List<Action> actions = new ArrayList<>();
        long before = current.sequence();
        apply(offer.entries(), actions);
        if (current.sequence() > before) {
            actions.add(new Action.Apply(current));
        }
        boolean unreadable = actions.stream().anyMatch(Action.Unreadable.class::isInstance);
        if (current.sequence() < offer.head() && !unreadable) {
            actions.add(new Action.Fetch(current.sequence() + 1));
        }
        if (current.sequence() >= offer.head()) {
            offer.confirmedAsOf().ifPresent(this::confirm);
        }
        return actions;
    }

    /** Jumps to a snapshot, unless what is applied is as new. */
    public List<Action> restore(Snapshot snapshot) {
        if (snapshot.sequence() <= current.sequence()) {
            return List.of();
        }
        current = snapshot.configuration();
        history = snapshot.history();
        tail.clear();
        return List.of(new Action.Apply(current));
    }

    /** What has been applied, for others to start from. */
    public Snapshot snapshot() {
        return new Snapshot(current, history.copy());
    }

    /** The newest entries applied, as many as are kept. */
    LogTail tail() {
        return tail;
    }

    /** The newest configuration applied. */
    public Configuration current() {
        return current;
    }

    /** When it was last known for sure that nothing newer existed. */
    public Optional<Instant> confirmedAt() {
        return confirmedAt;
    }

    /** True if that was known within the limit. */
    public boolean confirmed(Instant now, Duration limit) {
        return confirmedAt.filter(at -> !now.isAfter(at.plus(limit))).isPresent();
    }

    TicketHistory history() {
        return history;
    }

    private void apply(List<LogEntry> entries, List<Action> actions) {
        List<LogEntry> sorted =
                entries.stream()
                        .filter(entry -> entry.sequence() > current.sequence())
                        .sorted(Comparator.comparingLong(LogEntry::sequence))
                        .toList();
        if (sorted.isEmpty() || sorted.get(0).sequence() != current.sequence() + 1) {
            return;
        }
        ConfigurationDraft draft = ConfigurationDraft.of(current);
        long next = current.sequence() + 1;
        for (LogEntry entry : sorted) {
            if (entry.sequence() > next) {
                break;
            }
            if (entry.sequence() == next) {
                if (!put(draft, entry, actions)) {
                    break;
                }
                next++;
            }
        }
        current = draft.close();
    }

    private boolean put(ConfigurationDraft draft, LogEntry entry, List<Action> actions) {
        try {
            Ticket ticket = STORED.parse(entry.value());
            draft.put(ticket, entry.sequence());
            tail.add(entry);
            history.add(
                    new TicketHistory.Accepted(ticket.number(), entry.sequence(), ticket.digest()));
            return true;
        } catch (TicketException e) {
            actions.add(new Action.Unreadable(entry.sequence(), e.getMessage()));
            return false;
        }
    }

    private void confirm(Instant asOf) {
        if (confirmedAt.isEmpty() || confirmedAt.get().isBefore(asOf)) {
            confirmedAt = Optional.of(asOf);
        }
    }
}
