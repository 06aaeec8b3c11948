package io.damaskyoke.control.placement;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Polls the table's version in the store, at an interval that depends on the size of the fleet and
 * on request, and reads the table itself only if the version has changed.
 *
 * <p>A process's view may therefore be some seconds old. A router with an old view sends to an
 * agent that no longer has a grant, and the agent refuses; an agent with an old view keeps a
 * replica under a grant that only the agent itself removes, unless the grant was marked suspected
 * (see {@link PollingInterval#LONGEST}).
 */
public final class PollingPlacementFeed implements PlacementFeed {
    private static final Duration TICK = Duration.ofMillis(250);

    private final ControlThread control;
    private final PlacementStore store;
    private final Supplier<Duration> interval;
    private final Metrics metrics;
    private Consumer<PlacementTable> listener = table -> {};
    private PlacementTable table = PlacementTable.UNREAD;
    private long version = -1;
    private Instant nextReadAt = Instant.MIN;
    private boolean reading;
    private final List<Runnable> waitingSteps = new ArrayList<>();

    /**
     * Creates a feed.
     *
     * @param interval returns the wait until the next read; called before each read
     */
    public PollingPlacementFeed(
            ControlThread control,
            PlacementStore store,
            Supplier<Duration> interval,
            Metrics metrics) {
        this.control = control;
        this.store = store;
        this.interval = interval;
        this.metrics = metrics;
    }

    @Override
    public void start(Consumer<PlacementTable> newListener) {
        listener = newListener;
        refresh();
        control.every(TICK, this::tick);
    }

    private void tick() {
        if (!control.clock().instant().isBefore(nextReadAt)) {
            refresh();
        }
    }

    // A step that is added while a read is in progress waits for the next read: the current one may
    // have seen the store as it was before the step's reason arose.
    @Override
    public void refresh(Runnable afterwards) {
        waitingSteps.add(afterwards);
        if (!reading) {
            read();
        }
    }

    private void read() {
        reading = true;
        nextReadAt = control.clock().instant().plus(interval.get());
        List<Runnable> steps = List.copyOf(waitingSteps);
        waitingSteps.clear();
        readIfChanged()
                .whenComplete(
                        (result, failure) -> control.run(() -> finishRead(result, failure, steps)));
    }

    // Every write of a shard sets the version in the same transaction. The version is read before
    // the table, so a write in between shows as a new version at the next read, and none is missed.
    private CompletionStage<VersionedTable> readIfChanged() {
        PlacementTable known = table;
        long before = version;
        return store.version()
                .thenCompose(
                        now ->
                                now == before
                                        ? CompletableFuture.completedFuture(
                                                new VersionedTable(now, known))
                                        : store.read()
                                                .thenApply(read -> new VersionedTable(now, read)));
    }

    private record VersionedTable(long version, PlacementTable table) {}

    private void finishRead(VersionedTable result, Throwable failure, List<Runnable> steps) {
        reading = false;
        update(result, failure);
        steps.forEach(Runnable::run);
        if (!reading && !waitingSteps.isEmpty()) {
            read();
        }
    }

    // An older table would bring back a grant that its holder has released, and two VMs would load
    // the model, so the revision only grows. A known table is passed to the listener again at each
    // read, since the listener may by now receive messages from a VM that it did not reach before.
    private void update(VersionedTable result, Throwable failure) {
        if (failure != null) {
            metrics.count("placement_read_failures");
        } else if (result.table().revision() >= table.revision()) {
            table = result.table();
            version = result.version();
            listener.accept(table);
        }
    }
}
