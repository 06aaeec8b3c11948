package io.damaskyoke.control.configuration;

import io.damaskyoke.control.StateMachine;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A state machine that follows the configuration log: it accepts entries in any order and from any
 * source, and applies them in sequence order without gaps. It never returns to an older
 * configuration.
 */
public final class ConfigurationFollower
        implements StateMachine<
                ConfigurationFollower.EntriesReceived, ConfigurationFollower.Action> {
    private static final TicketParser STORED_TICKET_PARSER = TicketParser.forStoredTickets();

    private final LogTail tail = new LogTail();
    private TicketHistory history = new TicketHistory();
    private Configuration current = Configuration.EMPTY;
    private Optional<Instant> confirmedAt = Optional.empty();

    /**
     * Entries received from a watch, a listing or a peer.
     *
     * @param entries the entries in any order; entries that are already applied are ignored
     * @param head the highest sequence number that the sender knows of
     * @param confirmedAsOf the last time at which the log is proved to end at {@code head}: the
     *     start of a linearizable read of the store, or the time reported by a confirmed peer;
     *     empty if it is not proved
     */
    public record EntriesReceived(
            List<LogEntry> entries, long head, Optional<Instant> confirmedAsOf) {}

    /** What is to be done after entries were received. */
    public sealed interface Action {
        /** Makes a newer configuration the current one. */
        record ApplyConfiguration(Configuration configuration) implements Action {}

        /** Fetches the entries from this sequence number on, because some are missing. */
        record FetchEntries(long from) implements Action {}

        /** Reports an entry that cannot be parsed; no entry after it is applied. */
        record ReportUnreadableEntry(long sequence, String reason) implements Action {}
    }

    @Override
    public List<Action> on(EntriesReceived received, Instant now) {
        List<Action> actions = new ArrayList<>();
        long before = current.sequence();
        apply(received.entries(), actions);
        if (current.sequence() > before) {
            actions.add(new Action.ApplyConfiguration(current));
        }
        boolean unreadable =
                actions.stream().anyMatch(Action.ReportUnreadableEntry.class::isInstance);
        if (current.sequence() < received.head() && !unreadable) {
            actions.add(new Action.FetchEntries(current.sequence() + 1));
        }
        if (current.sequence() >= received.head()) {
            received.confirmedAsOf().ifPresent(this::updateConfirmedAt);
        }
        return actions;
    }

    /**
     * Replaces the configuration by that of the snapshot, unless the current one is at least as
     * new.
     */
    public List<Action> restore(ConfigurationSnapshot snapshot) {
        if (snapshot.sequence() <= current.sequence()) {
            return List.of();
        }
        current = snapshot.configuration();
        history = snapshot.history();
        tail.clear();
        return List.of(new Action.ApplyConfiguration(current));
    }

    /** Returns a snapshot of all applied entries, from which another process can start. */
    public ConfigurationSnapshot snapshot() {
        return new ConfigurationSnapshot(current, history.copy());
    }

    /** Returns the most recently applied entries. */
    LogTail tail() {
        return tail;
    }

    /** Returns the current configuration. */
    public Configuration current() {
        return current;
    }

    /** Returns the last time at which the current configuration was proved to be the newest. */
    public Optional<Instant> confirmedAt() {
        return confirmedAt;
    }

    /**
     * Returns true if the configuration was proved to be the newest within this limit before now.
     */
    public boolean isConfirmed(Instant now, Duration limit) {
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
                if (!applyEntry(draft, entry, actions)) {
                    break;
                }
                next++;
            }
        }
        current = draft.build();
    }

    private boolean applyEntry(ConfigurationDraft draft, LogEntry entry, List<Action> actions) {
        try {
            Ticket ticket = STORED_TICKET_PARSER.parse(entry.value());
            draft.apply(ticket, entry.sequence());
            tail.add(entry);
            history.add(
                    new TicketHistory.Accepted(ticket.number(), entry.sequence(), ticket.digest()));
            return true;
        } catch (TicketException e) {
            actions.add(new Action.ReportUnreadableEntry(entry.sequence(), e.getMessage()));
            return false;
        }
    }

    private void updateConfirmedAt(Instant asOf) {
        if (confirmedAt.isEmpty() || confirmedAt.get().isBefore(asOf)) {
            confirmedAt = Optional.of(asOf);
        }
    }
}
