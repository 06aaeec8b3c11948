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
 * Holds the current configuration of this process, keeps it up to date with the log, and appends
 * tickets that operators submit.
 *
 * <pre>{@code
 * ConfigurationService configuration =
 *         ConfigurationService.builder(control, store, timeline).prefix("/damaskyoke").build();
 * configuration.onChange(router::use).start();
 * configuration.submit(ticket).thenAccept(result -> ...);
 * }</pre>
 */
public final class ConfigurationService {
    /** How long a ticket waits until this process is on the list of VMs. */
    static final Duration LISTING_TIMEOUT = Duration.ofSeconds(10);

    /** The most tickets that may be queued; they are submitted to the log one at a time. */
    static final int MAX_QUEUED_TICKETS = 64;

    private static final Logger LOG = LogManager.getLogger(ConfigurationService.class);

    private final ControlThread control;
    private final Timeline timeline;
    private final RandomGenerator random;
    private final ConfigurationLog log;
    private final LogReader reader;
    private final SnapshotWriter snapshotWriter;
    private final ConfigurationFollower follower = new ConfigurationFollower();
    private final ArrayDeque<QueuedTicket> queue = new ArrayDeque<>();
    private final PendingWrites pendingWrites = new PendingWrites();
    private final Instant startedAt;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private boolean acceptingTickets = true;
    private boolean submitting;
    private boolean unreadableReported;
    private volatile Configuration current = Configuration.EMPTY;
    private volatile Optional<Instant> confirmedAt = Optional.empty();

    private record QueuedTicket(Ticket ticket, CompletableFuture<TicketResult> result) {}

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
                        this::applyEntries,
                        this::restore,
                        builder.pollPeriod,
                        random);
        reader.setFollowing(builder.followStore);
        snapshotWriter =
                new SnapshotWriter(
                        control,
                        log.snapshots(),
                        log,
                        follower::snapshot,
                        reader::isFollowing,
                        random);
    }

    /** Returns a builder for a service that runs on this control thread and uses this store. */
    public static Builder builder(ControlThread control, WatchedStore store, Timeline timeline) {
        return new Builder(control, store, timeline);
    }

    /**
     * Adds a listener that is called on the control thread with every newer configuration after it
     * became the current one.
     */
    public ConfigurationService onChange(Consumer<Configuration> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
        return this;
    }

    /** Starts following the log. Safe to call from any thread. */
    public ConfigurationService start() {
        control.run(reader::read);
        return this;
    }

    /** Stops following the log; the current configuration stays. Safe to call from any thread. */
    public void stop() {
        control.run(reader::stop);
    }

    /**
     * Sets whether to watch the store and to read it once a period, as relays do, or to read it
     * only on {@link #refresh()}. Must be called on the control thread.
     */
    public void followStore(boolean value) {
        reader.setFollowing(value);
    }

    /** Reads the store once, from the next entry on. Must be called on the control thread. */
    public void refresh() {
        reader.read();
    }

    /**
     * Sets whether tickets are written to the log; if not, they are queued for a limited time. A
     * router that is not on the list of VMs must not write: in an outage the other routers could
     * not ask it for unconfirmed writes. Must be called on the control thread.
     */
    public void acceptTickets(boolean value) {
        acceptingTickets = value;
        submitNext();
    }

    /**
     * Returns the entries from this sequence number on, or empty if some of them are no longer
     * held. Must be called on the control thread.
     */
    public Optional<List<LogEntry>> entries(long from) {
        if (from > current.sequence()) {
            return Optional.of(List.of());
        }
        return follower.tail().covers(from)
                ? Optional.of(follower.tail().entriesFrom(from))
                : Optional.empty();
    }

    /**
     * Returns a snapshot of the current configuration, for a process that starts. Must be called on
     * the control thread.
     */
    public ConfigurationSnapshot snapshot() {
        return follower.snapshot();
    }

    /**
     * Applies a snapshot from a peer, unless the current configuration is at least as new. Safe to
     * call from any thread.
     */
    public void offer(ConfigurationSnapshot snapshot) {
        control.run(() -> restore(snapshot));
    }

    /** Returns the current configuration. Safe to call from any thread. */
    public Configuration current() {
        return current;
    }

    /** Returns the last time at which the current configuration was proved to be the newest. */
    public Optional<Instant> confirmedAt() {
        return confirmedAt;
    }

    /**
     * Returns true if the configuration was confirmed since this process started. A confirmation
     * from before may come from an earlier incarnation that knew more entries.
     */
    public boolean confirmedSinceStart() {
        return confirmedAt.filter(at -> !at.isBefore(startedAt)).isPresent();
    }

    /**
     * Returns true if no ticket submitted here can be in the log beyond the current configuration:
     * none is being written, and none has an unknown outcome. Must be called on the control thread.
     */
    public boolean isSettled() {
        return pendingWrites.isSettled(current.sequence());
    }

    /**
     * Returns true if the configuration was proved to be the newest within this limit before now.
     * Safe to call from any thread.
     */
    public boolean isConfirmed(Duration limit) {
        Instant now = control.clock().instant();
        return confirmedAt.filter(at -> !now.isAfter(at.plus(limit))).isPresent();
    }

    /**
     * Accepts entries from any source, such as a relay or a peer. Safe to call from any thread.
     *
     * @param entries the entries in any order; entries that are already applied are ignored
     * @param head the highest sequence number that the sender knows of
     * @param confirmed whether the sender knows that, as of now, the log ends at {@code head}
     */
    public void offer(List<LogEntry> entries, long head, boolean confirmed) {
        Optional<Instant> asOf =
                confirmed ? Optional.of(control.clock().instant()) : Optional.empty();
        offer(new ConfigurationFollower.EntriesReceived(entries, head, asOf));
    }

    /** Accepts entries whose confirmation carries its own time. Safe to call from any thread. */
    public void offer(ConfigurationFollower.EntriesReceived received) {
        control.run(() -> applyEntries(received));
    }

    /**
     * Submits a ticket to the log. The stage always completes with a result, accepted or refused;
     * how soon depends on the timeout of the store's client. Safe to call from any thread.
     */
    public CompletionStage<TicketResult> submit(Ticket ticket) {
        Objects.requireNonNull(ticket, "ticket");
        CompletableFuture<TicketResult> result = new CompletableFuture<>();
        control.run(() -> enqueue(new QueuedTicket(ticket, result)));
        return result;
    }

    /**
     * Returns the accepted ticket with this number, if it is among the highest 16,384 accepted
     * numbers. Safe to call from any thread.
     */
    public CompletionStage<Optional<TicketResult.Accepted>> findTicket(long number) {
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

    private void enqueue(QueuedTicket next) {
        if (queue.size() >= MAX_QUEUED_TICKETS) {
            completeTicket(
                    next,
                    new TicketResult.Refused(
                            next.ticket().number(),
                            Code.BUSY,
                            "too many tickets are queued at this process, at most "
                                    + MAX_QUEUED_TICKETS
                                    + " may be; send it again later",
                            true));
            return;
        }
        queue.add(next);
        if (!acceptingTickets) {
            control.after(LISTING_TIMEOUT, () -> refuseUnlisted(next));
        }
        submitNext();
    }

    private void refuseUnlisted(QueuedTicket unlisted) {
        if (!acceptingTickets && queue.remove(unlisted)) {
            completeTicket(
                    unlisted,
                    new TicketResult.Refused(
                            unlisted.ticket().number(),
                            Code.BUSY,
                            "this router is not on the platform's list of VMs; send the ticket to"
                                    + " another router",
                            true));
        }
    }

    private void submitNext() {
        if (submitting || !acceptingTickets || queue.isEmpty()) {
            return;
        }
        submitting = true;
        QueuedTicket next = queue.remove();
        TicketSubmission submission = TicketSubmission.readingFirst(follower, random);
        new SubmissionRunner(control, log, submission, next.ticket(), pendingWrites, this::restore)
                .start()
                .thenAccept(result -> control.run(() -> submitted(next, result)));
    }

    private void submitted(QueuedTicket completed, TicketResult result) {
        submitting = false;
        if (result instanceof TicketResult.Accepted accepted) {
            byte[] value = completed.ticket().toJson();
            applyEntries(
                    new ConfigurationFollower.EntriesReceived(
                            List.of(new LogEntry(accepted.sequence(), value)),
                            accepted.sequence(),
                            Optional.empty()));
        }
        completeTicket(completed, result);
        publish();
        submitNext();
    }

    private void completeTicket(QueuedTicket completed, TicketResult result) {
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
        completed.result().complete(result);
    }

    private void restore(ConfigurationSnapshot snapshot) {
        follower.restore(snapshot);
        publish();
    }

    private void applyEntries(ConfigurationFollower.EntriesReceived received) {
        for (ConfigurationFollower.Action action :
                follower.on(received, control.clock().instant())) {
            if (action instanceof ConfigurationFollower.Action.FetchEntries) {
                reader.read();
            } else if (action
                    instanceof ConfigurationFollower.Action.ReportUnreadableEntry unreadable) {
                reportUnreadable(unreadable);
            }
        }
        publish();
    }

    /**
     * Publishes the follower's newest configuration, whether a read, a peer or a submission
     * advanced it.
     */
    private void publish() {
        confirmedAt = follower.confirmedAt();
        Configuration newest = follower.current();
        if (newest.sequence() > current.sequence()) {
            current = newest;
            timeline.add(EventType.IN_FORCE, Long.toString(newest.sequence()));
            listeners.forEach(listener -> notifyListener(listener, newest));
            snapshotWriter.logGrewTo(newest.sequence());
        }
    }

    /**
     * Calls one listener. If it throws, the other listeners and the queued tickets must still be
     * served.
     */
    private static void notifyListener(Consumer<Configuration> listener, Configuration newest) {
        try {
            listener.accept(newest);
        } catch (RuntimeException e) {
            LOG.error(
                    "a listener failed on configuration {}; the other listeners are still called",
                    newest.sequence(),
                    e);
        }
    }

    private void reportUnreadable(ConfigurationFollower.Action.ReportUnreadableEntry unreadable) {
        if (!unreadableReported) {
            unreadableReported = true;
            LOG.error(
                    "entry {} of the configuration log can't be parsed, no entry from it on is"
                            + " applied: {}",
                    unreadable.sequence(),
                    unreadable.reason());
        }
    }

    /** Builds a {@link ConfigurationService}. */
    public static final class Builder {
        private final ControlThread control;
        private final WatchedStore store;
        private final Timeline timeline;
        private String prefix = "/damaskyoke";
        private Duration pollPeriod = Duration.ofSeconds(5);
        private boolean followStore = true;
        private RandomGenerator random = new SplittableRandom();

        private Builder(ControlThread control, WatchedStore store, Timeline timeline) {
            this.control = Objects.requireNonNull(control, "control");
            this.store = Objects.requireNonNull(store, "store");
            this.timeline = Objects.requireNonNull(timeline, "timeline");
        }

        /** Sets the prefix of all store keys of the deployment; {@code /damaskyoke} by default. */
        public Builder prefix(String value) {
            prefix = Objects.requireNonNull(value, "prefix");
            return this;
        }

        /** Sets how often the configuration is confirmed with the store; 5 s by default. */
        public Builder pollPeriod(Duration value) {
            if (value.isNegative() || value.isZero()) {
                throw new IllegalArgumentException("pollPeriod must be positive: " + value);
            }
            pollPeriod = value;
            return this;
        }

        /**
         * Sets whether to follow the store from the start, see {@link
         * ConfigurationService#followStore}; true by default.
         */
        public Builder followStore(boolean value) {
            followStore = value;
            return this;
        }

        /** Sets the source of jitter; tests pass a seeded one. */
        public Builder random(RandomGenerator value) {
            random = Objects.requireNonNull(value, "random");
            return this;
        }

        /** Returns the service, not yet started. */
        public ConfigurationService build() {
            return new ConfigurationService(this);
        }
    }
}
