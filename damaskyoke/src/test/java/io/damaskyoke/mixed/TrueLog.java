package io.damaskyoke.mixed;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.ConfigurationFollower;
import io.damaskyoke.control.configuration.LogEntry;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.configuration.SampleTickets;
import io.damaskyoke.control.configuration.Ticket;
import io.damaskyoke.control.configuration.TicketSubmission;
import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What the store's log has really said from its beginning, against what anybody makes of it. */
final class TrueLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<Configuration> configurations = new ArrayList<>();
    private final Set<Long> numbers = new HashSet<>();
    private final Set<Long> accepted = new HashSet<>();
    private final Set<Long> refused = new HashSet<>();
    private final Map<Object, Long> seen = new HashMap<>();
    private final ConfigurationFollower reference = new ConfigurationFollower();
    private int outcomes;

    TrueLog() {
        configurations.add(Configuration.EMPTY);
    }

    long head() {
        return entries.size();
    }

    Configuration newest() {
        return configurations.get(configurations.size() - 1);
    }

    List<LogEntry> entries() {
        return entries;
    }

    /** The most replicas that any configuration allows from that sequence number on. */
    int mostReplicas(ModelName model, long since) {
        return configurations.subList((int) since, configurations.size()).stream()
                .map(configuration -> configuration.models().get(model))
                .filter(found -> found != null)
                .mapToInt(Model::maxReplicas)
                .max()
                .orElse(0);
    }

    int accepted() {
        return accepted.size();
    }

    int outcomes() {
        return outcomes;
    }

    void outcome(Ticket ticket, TicketSubmission.Action outcome) {
        outcomes++;
        if (outcome instanceof TicketSubmission.Action.ReportAccepted) {
            accepted.add(ticket.number());
        } else if (outcome instanceof TicketSubmission.Action.ReportRefused no
                && no.outcomeKnown()) {
            refused.add(ticket.number());
        }
    }

    /** Takes in the log as it stands: it may only have grown at its end. */
    void stands(List<LogEntry> now, List<String> found) {
        for (int i = 0; i < now.size(); i++) {
            if (now.get(i).sequence() != i + 1) {
                found.add("the log skips a place before " + now.get(i).sequence());
                return;
            }
            if (i >= entries.size()) {
                append(now.get(i), found);
            } else if (!Arrays.equals(entries.get(i).value(), now.get(i).value())) {
                found.add("the log was rewritten at " + (i + 1));
            }
        }
        if (now.size() < entries.size()) {
            found.add("the log was shortened");
        }
        checkOutcomes(found);
    }

    /** A process is at this configuration: it must be one the log has had, and never go back. */
    void follows(Object process, Configuration at, List<String> found) {
        if (at.sequence() < seen.getOrDefault(process, 0L)) {
            found.add(process + " went back to " + at);
        }
        seen.put(process, at.sequence());
        if (at.sequence() > head() || !at.equals(configurations.get((int) at.sequence()))) {
            found.add(process + " is at a " + at + " that never was");
        }
    }

    private void append(LogEntry entry, List<String> found) {
        entries.add(entry);
        reference.on(
                new ConfigurationFollower.EntriesReceived(
                        List.of(entry), entry.sequence(), Optional.empty()),
                Instant.EPOCH);
        configurations.add(reference.current());
        long number = SampleTickets.ticket(new String(entry.value(), UTF_8)).number();
        if (!numbers.add(number)) {
            found.add("ticket " + number + " stands in the log twice");
        }
    }

    private void checkOutcomes(List<String> found) {
        for (long number : accepted) {
            if (!numbers.contains(number)) {
                found.add("accepted ticket " + number + " is not in the log");
            }
        }
        for (long number : refused) {
            if (numbers.contains(number)) {
                found.add("refused ticket " + number + " is in the log");
            }
        }
    }
}
