package io.damaskyoke.control.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.platform.PlatformException.Code;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against tickets that are lost or stored twice when operators submit concurrently through
 * several routers, in random order, with writes that take effect late or whose answers are lost.
 * The naive version reads the log's head and overwrites the next entry.
 */
class TicketRaceTest {
    private static final Instant NOW = Instant.parse("2026-12-01T00:00:00Z");
    private static final int OPERATORS = 4;

    @Property(seed = "20261201", tries = 500)
    void everyAcceptedTicketIsInTheLogExactlyOnce(@ForAll long seed) {
        Race race = new Race(seed, true).run();
        assertEquals(List.of(), race.faults());
    }

    @Property(seed = "20261202", tries = 500)
    void aFollowerNeverGoesBackWhateverEntriesItReceives(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ConfigurationFollower follower = new ConfigurationFollower();
        Configuration naive = Configuration.EMPTY;
        List<LogEntry> log = log(12);
        for (int step = 0; step < 60; step++) {
            int from = random.nextInt(log.size());
            int to = from + random.nextInt(log.size() - from) + 1;
            List<LogEntry> offered = new ArrayList<>(log.subList(from, to));
            Collections.shuffle(offered, new Random(random.nextLong()));
            follower.on(
                    new ConfigurationFollower.EntriesReceived(offered, to, Optional.empty()), NOW);
            if (from <= naive.sequence() && to > naive.sequence()) {
                naive = replay(log.subList(0, to));
            }
            assertEquals(naive, follower.current());
        }
    }

    /** Shows that the property can fail: on some schedules the naive version loses tickets. */
    @Test
    void theNaiveVersionLosesAcceptedTickets() {
        long faulty =
                new SplittableRandom(20261201)
                        .longs(100)
                        .filter(seed -> !new Race(seed, false).run().faults().isEmpty())
                        .count();
        assertTrue(faulty > 0, "no schedule broke the naive version");
    }

    @Test
    void aGapIsFetchedAndNoEntryAfterItIsApplied() {
        ConfigurationFollower follower = new ConfigurationFollower();
        var actions =
                follower.on(
                        new ConfigurationFollower.EntriesReceived(
                                log(3).subList(1, 3), 3, Optional.of(NOW)),
                        NOW);
        assertEquals(List.of(new ConfigurationFollower.Action.FetchEntries(1)), actions);
        assertFalse(follower.isConfirmed(NOW, Duration.ofHours(1)));
    }

    private static List<LogEntry> log(int length) {
        List<LogEntry> log = new ArrayList<>();
        for (int sequence = 1; sequence <= length; sequence++) {
            byte[] value = SampleTickets.workspace(sequence, "w" + sequence % 3, sequence).toJson();
            log.add(new LogEntry(sequence, value));
        }
        return log;
    }

    private static Configuration replay(List<LogEntry> log) {
        ConfigurationDraft draft = ConfigurationDraft.of(Configuration.EMPTY);
        log.forEach(
                entry ->
                        draft.apply(
                                TicketParser.forStoredTickets().parse(entry.value()),
                                entry.sequence()));
        return draft.build();
    }

    /** One random schedule of concurrent submissions to one log. */
    private static final class Race {
        private final SplittableRandom random;
        private final boolean createIfAbsent;
        private final TreeMap<Long, byte[]> log = new TreeMap<>();
        private final Map<Long, String> outcomes = new HashMap<>();
        private final List<Runnable> steps = new ArrayList<>();
        private final List<Ticket> tickets = new ArrayList<>();

        Race(long seed, boolean createIfAbsent) {
            this.random = new SplittableRandom(seed);
            this.createIfAbsent = createIfAbsent;
        }

        Race run() {
            for (int operator = 1; operator <= OPERATORS; operator++) {
                Ticket ticket = SampleTickets.workspace(operator, "w" + operator % 2, operator);
                tickets.add(ticket);
                begin(ticket);
            }
            begin(tickets.get(0));
            while (!steps.isEmpty()) {
                steps.remove(random.nextInt(steps.size())).run();
            }
            return this;
        }

        /** Returns the contradictions between the log and the outcomes reported to operators. */
        List<String> faults() {
            List<String> faults = new ArrayList<>();
            Map<Long, Long> countByNumber =
                    log.values().stream()
                            .map(TicketParser.forStoredTickets()::parse)
                            .collect(Collectors.groupingBy(Ticket::number, Collectors.counting()));
            countByNumber.forEach(
                    (number, count) -> {
                        if (count > 1) {
                            faults.add("ticket " + number + " is in the log twice");
                        }
                    });
            outcomes.forEach(
                    (number, outcome) -> {
                        boolean inLog = countByNumber.containsKey(number);
                        if (outcome.equals("accepted") && !inLog) {
                            faults.add("accepted ticket " + number + " is not in the log");
                        }
                        if (outcome.equals("refused") && inLog) {
                            faults.add("refused ticket " + number + " is in the log");
                        }
                    });
            return faults;
        }

        private void begin(Ticket ticket) {
            ConfigurationFollower follower = new ConfigurationFollower();
            TicketSubmission submission =
                    TicketSubmission.validatingFirst(follower, random.split());
            steps.add(
                    () ->
                            feed(
                                    ticket,
                                    submission,
                                    new TicketSubmission.Input.TicketSubmitted(ticket)));
        }

        private void feed(Ticket ticket, TicketSubmission to, TicketSubmission.Input input) {
            for (TicketSubmission.Action action : to.on(input, NOW)) {
                steps.add(() -> execute(ticket, to, action));
            }
        }

        private void execute(Ticket ticket, TicketSubmission from, TicketSubmission.Action action) {
            if (action instanceof TicketSubmission.Action.ReadLog read) {
                feed(ticket, from, random.nextInt(5) == 0 ? answerLost() : read(read.from()));
            } else if (action instanceof TicketSubmission.Action.CreateEntry create) {
                create(ticket, from, create);
            } else if (action instanceof TicketSubmission.Action.Pause) {
                feed(ticket, from, new TicketSubmission.Input.PauseElapsed());
            } else if (action instanceof TicketSubmission.Action.ReportAccepted) {
                outcomes.put(ticket.number(), "accepted");
            } else if (action instanceof TicketSubmission.Action.ReportRefused refused) {
                outcomes.putIfAbsent(
                        ticket.number(), refused.outcomeKnown() ? "refused" : "unknown");
            }
        }

        /**
         * The answer arrives, is lost after the write, or is lost long before the write takes
         * effect.
         */
        private void create(
                Ticket ticket, TicketSubmission from, TicketSubmission.Action.CreateEntry create) {
            switch (random.nextInt(4)) {
                case 0 -> {
                    put(create);
                    feed(ticket, from, answerLost());
                }
                case 1 -> {
                    steps.add(() -> put(create));
                    feed(ticket, from, answerLost());
                }
                default ->
                        feed(ticket, from, new TicketSubmission.Input.CreateAnswered(put(create)));
            }
        }

        private boolean put(TicketSubmission.Action.CreateEntry create) {
            if (createIfAbsent) {
                return log.putIfAbsent(create.sequence(), create.value()) == null;
            }
            log.put(create.sequence(), create.value());
            return true;
        }

        private TicketSubmission.Input read(long from) {
            List<LogEntry> entries =
                    log.tailMap(from).entrySet().stream()
                            .map(entry -> new LogEntry(entry.getKey(), entry.getValue()))
                            .toList();
            long head = log.isEmpty() ? 0 : log.lastKey();
            return new TicketSubmission.Input.LogRead(entries, head);
        }

        private static TicketSubmission.Input answerLost() {
            return new TicketSubmission.Input.StoreFailed(Code.OUTCOME_UNKNOWN);
        }
    }
}
