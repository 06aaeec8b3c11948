package io.damaskyoke.control.configuration;

import io.damaskyoke.control.ControlThread;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes a snapshot every {@value #EVERY} entries and then shortens the log; lives on the control
 * thread of a process that reads the log itself.
 *
 * <p>Several processes may do so at once: they wait a random time, look whether another was first,
 * and the store's conditions decide. The log keeps {@value #KEPT} entries below the snapshot, its
 * newest always among them: accepting a ticket asks for the entry before its own to be there, and a
 * reader that is a little behind needs no snapshot.
 */
final class SnapshotWriter {
    static final int EVERY = 1_000;
    static final int KEPT = 128;

    private static final Logger LOG = LogManager.getLogger(SnapshotWriter.class);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

    private final ControlThread control;
    private final SnapshotStore snapshots;
    private final ConfigurationLog log;
    private final Supplier<Snapshot> source;
    private final BooleanSupplier onDuty;
    private final RandomGenerator random;
    private long newest;
    private boolean busy;

    SnapshotWriter(
            ControlThread control,
            SnapshotStore snapshots,
            ConfigurationLog log,
            Supplier<Snapshot> source,
            BooleanSupplier onDuty,
            RandomGenerator random) {
        this.control = control;
        this.snapshots = snapshots;
        this.log = log;
        this.source = source;
        this.onDuty = onDuty;
        this.random = random;
    }

    /** The log has grown to this entry. */
    void reached(long sequence) {
        if (busy || !onDuty.getAsBoolean() || sequence - newest < EVERY) {
            return;
        }
        busy = true;
        Duration wait = Duration.ofMillis(random.nextLong(LONGEST_WAIT.toMillis()));
        control.after(wait, this::look);
    }

    private void look() {
        snapshots
                .newest()
                .whenComplete(
                        (found, failure) ->
                                control.run(
                                        () -> {
                                            if (failure != null) {
                                                over(failure);
                                                return;
                                            }
                                            found.ifPresent(it -> newest = it.sequence());
                                            write();
                                        }));
    }

    private void write() {
        Snapshot snapshot = source.get();
        if (snapshot.sequence() - newest < EVERY || !onDuty.getAsBoolean()) {
            busy = false;
            return;
        }
        snapshots
                .write(snapshot)
                .thenCompose(named -> log.shorten(snapshot.sequence() - KEPT))
                .whenComplete(
                        (done, failure) ->
                                control.run(
                                        () -> {
                                            newest = snapshot.sequence();
                                            over(failure);
                                        }));
    }

    private void over(Throwable failure) {
        busy = false;
        if (failure != null) {
            LOG.info("no snapshot written this time: {}", failure.getMessage());
        }
    }
}
