package io.damaskyoke.control.configuration;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.TicketException.Code;
import io.damaskyoke.platform.WatchedStore;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the configuration in force in this process, and takes tickets.
 *
 * <pre>{@code
 * ConfigurationService configuration =
 *         ConfigurationService.builder(control, store, timeline).prefix("/damaskyoke").build();
 * configuration.onChange(router::use).start();
 * configuration.submit(ticket).thenAccept(result -> ...);
 * }</pre>
 */
public final class ConfigurationService {
    /** How long a ticket waits for this process to be on the list of VMs. */
    static final Duration LISTING = Duration.ofSeconds(10);

    /** Tickets that may wait here; one at a time is brought into the log. */
    static final int MAX_WAITING = 64;

    private static final Logger LOG = LogManager.getLogger(ConfigurationService.class);

    private final ControlThread control;
    private final Timeline timeline;
    private final RandomGenerator random;
    private final ConfigurationLog log;
    private final LogReader reader;
    private final SnapshotWriter snapshotWriter;
    private final ConfigurationFollower follower = new ConfigurationFollower();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final PendingWrites pending = new PendingWrites();
    private final Instant startedAt;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private boolean takesTickets = true;
    private boolean submitting;
    private boolean broken;
    private volatile Configuration current = Configuration.EMPTY;
    private volatile Optional<Instant> confirmedAt = Optional.empty();

    private record Waiting(Ticket ticket, CompletableFuture<TicketResult> result) {}

    private ConfigurationService(Builder builder) {
        control = builder.control;
        startedAt = builder.control.clock().instant();
        timeline = builder.timeline;
        random = builder.random;
        log = new ConfigurationLog(builder.store, builder.prefix);
        reader =
                new LogReader(
                        control,
                        log,
                        () -> follower.current().sequence(),
                        this::take,
                        this::restore,
                        builder.pollPeriod,
                        random);
        reader.follow(builder.direct);
        snapshotWriter =
                new SnapshotWriter(
                        control,
                        log.snapshots(),
                        log,
                        follower::snapshot,
                        reader::following,
                        random);
    }

    /** Begins a service on this control thread and store. */
    public static Builder builder(ControlThread control, WatchedStore store, Timeline timeline) {
        return new Builder(control, store, timeline);
    }

    /** Hears of every newer configuration, on the control thread, soon after it came into force. */
    public ConfigurationService onChange(Consumer<Configuration> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
        return this;
    }

    /** Begins to follow the log; safe from any thread. */
    public ConfigurationService start() {
        control.run(reader::read);
        return this;
    }

    /** Stops following the log; what is in force stays. */
    public void stop() {
        control.run(reader::stop);
    }

    /**
     * Whether to keep a watch on the store and read it once a period, as relays do, or to read it
     * only on {@link #refresh()}. For the control thread.
     */
    public void direct(boolean value) {
        reader.follow(value);
    }

    /** Reads the store once, from the next entry on. For the control thread. */
    public void refresh() {
        reader.read();
    }

    /**
     * Whether to bring tickets into the log; else they wait for a while. A router that the list of
     * VMs doesn't name must not: in an outage the others couldn't ask it. For the control thread.
     */
    public void takeTickets(boolean value) {
        takesTickets = value;
        submitNext();
    }

    /** The entries from this number on, if all are still held. For the control thread. */
    public Optional<List<LogEntry>> entries(long from) {
        if (from > current.sequence()) {
            return Optional.of(List.of());
        }
        return follower.tail().reaches(from)
                ? Optional.of(follower.tail().from(from))
                : Optional.empty();
    }

    /** All that is in force, for a process that starts. For the control thread. */
    public Snapshot snapshot() {
        return follower.snapshot();
    }

    /** Takes a snapshot from a peer, unless what is in force is as new. */
    public void offer(Snapshot snapshot) {
        control.run(() -> restore(snapshot));
    }

    /** What is in force here; safe from any thread. */
    public Configuration current() {
        return current;
    }

    /** When it was last known for sure that nothing newer existed. */
    public Optional<Instant> confirmedAt() {
        return confirmedAt;
    }

    /** True if that was since this process started; before, a former life may have known more. */
    public boolean confirmedInThisLife() {
        return confirmedAt.filter(at -> !at.isBefore(startedAt)).isPresent();
    }

    /**
     * True if no ticket taken here can stand in the log beyond what is in force here: none is being
     * written, and none has an unknown outcome. For the control thread.
     */
    public boolean settled() {
        return pending.settled(current.sequence());
    }

    /** True if that was known within the limit; safe from any thread. */
    public boolean confirmed(Duration limit) {
        Instant now = control.clock().instant();
        return confirmedAt.filter(at -> !now.isAfter(at.plus(limit))).isPresent();
    }

    /**
     * Takes entries from anywhere: a relay, a peer, a snapshot.
     *
     * @param entries in any order, perhaps known already
     * @param head the highest sequence number that the sender knows of
     * @param confirmed whether the sender knows, as of now, that the log ends there
     */
    public void offer(List<LogEntry> entries, long head, boolean confirmed) {
        Optional<Instant> asOf =
                confirmed ? Optional.of(control.clock().instant()) : Optional.empty();
        offer(new ConfigurationFollower.Offer(entries, head, asOf));
    }

    /** The same, from a sender whose confirmation has an age. */
    public void offer(ConfigurationFollower.Offer offer) {
        control.run(() -> take(offer));
    }

    /**
     * Brings a ticket into the log. The stage always ends with a result, accepted or refused; in
     * what time depends on the store's time limit.
     */
    public CompletionStage<TicketResult> submit(Ticket ticket) {
        Objects.requireNonNull(ticket, "ticket");
        CompletableFuture<TicketResult> result = new CompletableFuture<>();
        control.run(() -> enqueue(new Waiting(ticket, result)));
        return result;
    }

    /** The accepted ticket with this number, among the last sixteen thousand numbers. */
    public CompletionStage<Optional<TicketResult.Accepted>> ticket(long number) {
        return control.call(
                () ->
                        follower.history()
                                .find(number)
                                .map(
                                        ticket ->
                                                new TicketResult.Accepted(
                                                        number,
                                                        ticket.sequence(),
                                                        ticket.digest())));
    }

    private void enqueue(Waiting next) {
        if (waiting.size() >= MAX_WAITING) {
            finish(
                    next,
                    new TicketResult.Refused(
                            next.ticket().number(),
                            Code.BUSY,
                            "too many tickets are waiting at this process",
                            true));
            return;
        }
        waiting.add(next);
        if (!takesTickets) {
            control.after(LISTING, () -> giveUp(next));
        }
        submitNext();
    }

    private void giveUp(Waiting unlisted) {
        if (!takesTickets && waiting.remove(unlisted)) {
            finish(
                    unlisted,
                    new TicketResult.Refused(
                            unlisted.ticket().number(),
                            Code.BUSY,
                            "this router isn't on the platform's list of VMs; ask another",
                            true));
        }
    }

    private void submitNext() {
        if (submitting || !takesTickets || waiting.isEmpty()) {
            return;
        }
        submitting = true;
        Waiting next = waiting.remove();
        TicketSubmission machine = TicketSubmission.readingFirst(follower, random);
        new SubmissionRun(control, log, machine, next.ticket(), pending, this::restore)
                .start()
                .thenAccept(result -> control.run(() -> submitted(next, result)));
    }

    private void submitted(Waiting done, TicketResult result) {
        submitting = false;
        if (result instanceof TicketResult.Accepted accepted) {
            byte[] value = done.ticket().toJson();
            take(
                    new ConfigurationFollower.Offer(
                            List.of(new LogEntry(accepted.sequence(), value)),
                            accepted.sequence(),
                            Optional.empty()));
        }
        finish(done, result);
        publish();
        submitNext();
    }

    private void finish(Waiting done, TicketResult result) {
        String subject = Long.toString(result.number());
        if (result instanceof TicketResult.Accepted accepted) {
            timeline.add(
                    EventType.TICKET_ACCEPTED,
                    subject,
                    Map.of("sequence", Long.toString(accepted.sequence())));
        } else if (result instanceof TicketResult.Refused refused) {
            timeline.add(
                    EventType.TICKET_REFUSED,
                    subject,
                    Map.of("code", refused.code().name(), "message", refused.message()));
        }
        done.result().complete(result);
    }

    private void restore(Snapshot snapshot) {
        follower.restore(snapshot);
        publish();
    }

    private void take(ConfigurationFollower.Offer offer) {
        for (ConfigurationFollower.Action action : follower.on(offer, control.clock().instant())) {
            if (action instanceof ConfigurationFollower.Action.Fetch) {
                reader.read();
            } else if (action instanceof ConfigurationFollower.Action.Unreadable unreadable) {
                report(unreadable);
            }
        }
        publish();
    }

    /** Whatever moved the follower, a submission's reading included, comes into force here. */
    private void publish() {
        confirmedAt = follower.confirmedAt();
        Configuration newest = follower.current();
        if (newest.sequence() > current.sequence()) {
            current = newest;
            timeline.add(EventType.IN_FORCE, Long.toString(newest.sequence()));
            listeners.forEach(listener -> tell(listener, newest));
            snapshotWriter.reached(newest.sequence());
        }
    }

    /** A listener that throws must not keep the others, or waiting tickets, from going on. */
    private static void tell(Consumer<Configuration> listener, Configuration newest) {
        try {
            listener.accept(newest);
        } catch (RuntimeException e) {
            LOG.error("configuration {} was not taken in by a part", newest.sequence(), e);
        }
    }

    private void report(ConfigurationFollower.Action.Unreadable unreadable) {
        if (!broken) {
            broken = true;
            LOG.error(
                    "entry {} of the configuration log can't be read, the configuration stays"
                            + " where it is: {}",
                    unreadable.sequence(),
                    unreadable.reason());
        }
    }

    /** Puts a {@link ConfigurationService} together. */
    public static final class Builder {
        private final ControlThread control;
        private final WatchedStore store;
        private final Timeline timeline;
        private String prefix = "/damaskyoke";
        private Duration pollPeriod = Duration.ofSeconds(5);
        private boolean direct = true;
        private RandomGenerator random = new SplittableRandom();

        private Builder(ControlThread control, WatchedStore store, Timeline timeline) {
            this.control = Objects.requireNonNull(control, "control");
            this.store = Objects.requireNonNull(store, "store");
            this.timeline = Objects.requireNonNull(timeline, "timeline");
        }

        /** What all keys of the deployment begin with; {@code /damaskyoke} if not set. */
        public Builder prefix(String value) {
            prefix = Objects.requireNonNull(value, "prefix");
            return this;
        }

        /** How often the configuration is confirmed with the store; 5 s if not set. */
        public Builder pollPeriod(Duration value) {
            if (value.isNegative() || value.isZero()) {
                throw new IllegalArgumentException("pollPeriod must be positive: " + value);
            }
            pollPeriod = value;
            return this;
        }

        /** Whether to follow the store from the start; see {@link #direct}. True if not set. */
        public Builder direct(boolean value) {
            direct = value;
            return this;
        }

        /** Where jitter comes from; seeded in tests. */
        public Builder random(RandomGenerator value) {
            random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** The service, not yet started. */
        public ConfigurationService build() {
            return new ConfigurationService(this);
        }
    }
}
