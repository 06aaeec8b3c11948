package io.damaskyoke.control.configuration;

import io.damaskyoke.control.ControlThread;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes a snapshot every {@value #INTERVAL_ENTRIES} entries and then truncates the log. Runs on
 * the control thread of a process that follows the store itself.
 *
 * <p>Several processes may write at once: each waits a random time and checks whether another one
 * was first, and the conditions of the store's transactions decide. The log keeps the {@value
 * #KEPT_ENTRIES} entries before the snapshot and so always its newest entry: accepting a ticket
 * requires that the preceding entry is present, and a reader that is a little behind needs no
 * snapshot.
 */
final class SnapshotWriter {
    static final int INTERVAL_ENTRIES = 1_000;
    static final int KEPT_ENTRIES = 128;

    private static final Logger LOG = LogManager.getLogger(SnapshotWriter.class);
    private static final Duration MAX_DELAY = Duration.ofSeconds(30);

    private final ControlThread control;
    private final SnapshotStore snapshots;
    private final ConfigurationLog log;
    private final Supplier<ConfigurationSnapshot> source;
    private final BooleanSupplier followsStore;
    private final RandomGenerator random;
    private long newestSequence;
    private boolean writing;

    SnapshotWriter(
            ControlThread control,
            SnapshotStore snapshots,
            ConfigurationLog log,
            Supplier<ConfigurationSnapshot> source,
            BooleanSupplier followsStore,
            RandomGenerator random) {
        this.control = control;
        this.snapshots = snapshots;
        this.log = log;
        this.source = source;
        this.followsStore = followsStore;
        this.random = random;
    }

    /**
     * Records that the log has grown to this sequence number, and schedules a snapshot if one is
     * due.
     */
    void logGrewTo(long sequence) {
        if (writing
                || !followsStore.getAsBoolean()
                || sequence - newestSequence < INTERVAL_ENTRIES) {
            return;
        }
        writing = true;
        Duration delay = Duration.ofMillis(random.nextLong(MAX_DELAY.toMillis()));
        control.after(delay, this::checkNewest);
    }

    private void checkNewest() {
        snapshots
                .readNewest()
                .whenComplete(
                        (found, failure) ->
                                control.run(
                                        () -> {
                                            if (failure != null) {
                                                finish(failure);
                                                return;
                                            }
                                            found.ifPresent(it -> newestSequence = it.sequence());
                                            write();
                                        }));
    }

    private void write() {
        ConfigurationSnapshot snapshot = source.get();
        if (snapshot.sequence() - newestSequence < INTERVAL_ENTRIES
                || !followsStore.getAsBoolean()) {
            writing = false;
            return;
        }
        snapshots
                .write(snapshot)
                .thenCompose(named -> log.truncate(snapshot.sequence() - KEPT_ENTRIES))
                .whenComplete(
                        (done, failure) ->
                                control.run(
                                        () -> {
                                            newestSequence = snapshot.sequence();
                                            finish(failure);
                                        }));
    }

    private void finish(Throwable failure) {
        writing = false;
        if (failure != null) {
            LOG.info(
                    "writing a snapshot of the configuration or truncating the log failed, trying"
                            + " again with a later entry: {}",
                    failure.getMessage());
        }
    }
}
