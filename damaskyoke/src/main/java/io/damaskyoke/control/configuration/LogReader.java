package io.damaskyoke.control.configuration;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.WatchedStore;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the log from the store: lists it, watches it, and lists it again once a period and after
 * the watch has ended. Runs on the control thread.
 *
 * <p>The periodic listing confirms the configuration and makes up for a watch that stays open but
 * delivers nothing, for example behind a switch that drops packets. Without it the configuration
 * would become stale unnoticed; with it the staleness is bounded by the period. A listing that
 * finds entries the watch missed reopens the watch.
 */
final class LogReader {
    private static final Logger LOG = LogManager.getLogger(LogReader.class);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(200);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(10);
    private static final int MAX_DOUBLINGS = 6;

    private final ControlThread control;
    private final ConfigurationLog log;
    private final LongSupplier currentSequence;
    private final Consumer<ConfigurationFollower.EntriesReceived> onEntries;
    private final Consumer<ConfigurationSnapshot> onSnapshot;
    private final Duration period;
    private final RandomGenerator random;
    private Optional<WatchedStore.Watch> watch = Optional.empty();
    private Optional<ControlThread.Cancellable> timer = Optional.empty();
    private long watchNumber;
    private int failures;
    private boolean reading;
    private boolean following = true;
    private boolean stopped;

    LogReader(
            ControlThread control,
            ConfigurationLog log,
            LongSupplier currentSequence,
            Consumer<ConfigurationFollower.EntriesReceived> onEntries,
            Consumer<ConfigurationSnapshot> onSnapshot,
            Duration period,
            RandomGenerator random) {
        this.control = control;
        this.log = log;
        this.currentSequence = currentSequence;
        this.onEntries = onEntries;
        this.onSnapshot = onSnapshot;
        this.period = period;
        this.random = random;
    }

    /** Lists the log from the next entry on, unless a listing is in progress. */
    void read() {
        if (stopped || reading) {
            return;
        }
        reading = true;
        timer.ifPresent(ControlThread.Cancellable::cancel);
        Instant startedAt = control.clock().instant();
        long from = currentSequence.getAsLong() + 1;
        log.read(from)
                .whenComplete(
                        (page, error) ->
                                control.run(
                                        () -> {
                                            reading = false;
                                            if (error == null) {
                                                handlePage(page, from, startedAt);
                                            } else {
                                                retryAfterBackoff();
                                            }
                                        }));
    }

    /**
     * Sets whether to keep a watch and read once a period, or to read only when {@link #read} is
     * called.
     *
     * <p>Only thirty processes of a fleet follow the store themselves. If all did, the store would
     * deliver each entry once for each process, and each open watch counts as a call.
     */
    void setFollowing(boolean value) {
        if (following == value) {
            return;
        }
        following = value;
        if (following) {
            read();
            return;
        }
        timer.ifPresent(ControlThread.Cancellable::cancel);
        closeWatch();
    }

    boolean isFollowing() {
        return following;
    }

    void stop() {
        stopped = true;
        timer.ifPresent(ControlThread.Cancellable::cancel);
        closeWatch();
    }

    private void handlePage(ConfigurationLog.Page page, long from, Instant startedAt) {
        if (stopped) {
            return;
        }
        if (watch.isPresent()) {
            failures = 0;
        }
        page.snapshot().ifPresent(onSnapshot);
        if (hasGap(page)) {
            retryAfterBackoff();
            return;
        }
        long head = lastSequence(page.entries(), from - 1);
        boolean missed = currentSequence.getAsLong() < head;
        onEntries.accept(
                new ConfigurationFollower.EntriesReceived(
                        page.entries(),
                        head,
                        page.last() ? Optional.of(startedAt) : Optional.empty()));
        if (!page.last() && currentSequence.getAsLong() >= from) {
            read();
            return;
        }
        if (!following) {
            return;
        }
        if (missed || watch.isEmpty()) {
            openWatch(page.revision() + 1);
        }
        scheduleRead(jittered(period));
    }

    private void retryAfterBackoff() {
        Duration backoff = FIRST_BACKOFF.multipliedBy(1L << Math.min(failures++, MAX_DOUBLINGS));
        scheduleRead(jittered(backoff.compareTo(MAX_BACKOFF) < 0 ? backoff : MAX_BACKOFF));
    }

    private void scheduleRead(Duration delay) {
        if (!stopped && following) {
            timer.ifPresent(ControlThread.Cancellable::cancel);
            timer = Optional.of(control.after(delay, this::read));
        }
    }

    private void openWatch(long fromRevision) {
        closeWatch();
        long number = ++watchNumber;
        watch = Optional.of(log.watch(fromRevision, new Listener(number)));
    }

    private void closeWatch() {
        watchNumber++;
        watch.ifPresent(WatchedStore.Watch::close);
        watch = Optional.empty();
    }

    private void watchEnded(long number, PlatformException cause) {
        if (number == watchNumber && !stopped) {
            LOG.info(
                    "the watch of the configuration log ended, listing the log again after a"
                            + " backoff: {}",
                    cause.getMessage());
            closeWatch();
            retryAfterBackoff();
        }
    }

    private Duration jittered(Duration duration) {
        long half = duration.toMillis() / 2;
        return Duration.ofMillis(half + random.nextLong(half + 1));
    }

    /**
     * Returns true if entries are missing before those read; a later read finds the snapshot that
     * holds them.
     */
    private boolean hasGap(ConfigurationLog.Page page) {
        return !page.entries().isEmpty()
                && page.entries().get(0).sequence() > currentSequence.getAsLong() + 1;
    }

    private static long lastSequence(List<LogEntry> entries, long otherwise) {
        return entries.isEmpty() ? otherwise : entries.get(entries.size() - 1).sequence();
    }

    /** Passes the events of one watch to the control thread. */
    private final class Listener implements WatchedStore.WatchListener {
        private final long number;

        Listener(long number) {
            this.number = number;
        }

        @Override
        public void changed(List<KeyValueStore.Change> changes, long revision) {
            List<LogEntry> entries = log.entries(changes);
            long head = entries.stream().mapToLong(LogEntry::sequence).max().orElse(0);
            control.run(
                    () ->
                            onEntries.accept(
                                    new ConfigurationFollower.EntriesReceived(
                                            entries, head, Optional.empty())));
        }

        @Override
        public void ended(PlatformException cause) {
            control.run(() -> LogReader.this.watchEnded(number, cause));
        }
    }
}
