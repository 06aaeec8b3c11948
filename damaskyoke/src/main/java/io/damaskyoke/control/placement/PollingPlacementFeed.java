package io.damaskyoke.control.placement;

import io.damaskyoke.control.Control;
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

    private final Control control;
    private final PlacementStore store;
    private final Supplier<Duration> pause;
    private final Metrics metrics;
    private Consumer<PlacementTable> listener = table -> {};
    private PlacementTable table = PlacementTable.UNREAD;
    private long version = -1;
    private Instant due = Instant.MIN;
    private boolean reading;
    private final List<Runnable> next = new ArrayList<>();

    /**
     * Creates a feed.
     *
     * @param pause returns the wait until the next read; called before each read
     */
    public PollingPlacementFeed(
            Control control, PlacementStore store, Supplier<Duration> pause, Metrics metrics) {
        this.control = control;
        this.store = store;
        this.pause = pause;
        this.metrics = metrics;
    }

    @Override
    public void start(Consumer<PlacementTable> newListener) {
        listener = newListener;
        refresh();
        control.every(TICK, this::tick);
    }

    private void tick() {
        if (!control.clock().instant().isBefore(due)) {
            refresh();
        }
    }

    // A step that is added while a read is in progress waits for the next read: the current one may
    // have seen the store as it was before the step's reason arose.
    @Override
    public void refresh(Runnable afterwards) {
        next.add(afterwards);
        if (!reading) {
            read();
        }
    }

    private void read() {
        reading = true;
        due = control.clock().instant().plus(pause.get());
        List<Runnable> steps = List.copyOf(next);
        next.clear();
        look().whenComplete((found, failure) -> control.run(() -> ended(found, failure, steps)));
    }

    // Every write of a shard sets the version in the same transaction. The version is read before
    // the table, so a write in between shows as a new version at the next read, and none is missed.
    private CompletionStage<Look> look() {
        PlacementTable known = table;
        long before = version;
        return store.version()
                .thenCompose(
                        now ->
                                now == before
                                        ? CompletableFuture.completedFuture(new Look(now, known))
                                        : store.read().thenApply(read -> new Look(now, read)));
    }

    private record Look(long version, PlacementTable table) {}

    private void ended(Look found, Throwable failure, List<Runnable> steps) {
        reading = false;
        take(found, failure);
        steps.forEach(Runnable::run);
        if (!reading && !next.isEmpty()) {
            read();
        }
    }

    // An older table would bring back a grant that its holder has released, and two VMs would load
    // the model, so the revision only grows. A known table is passed to the listener again at each
    // read, since the listener may by now receive messages from a VM that it did not reach before.
    private void take(Look found, Throwable failure) {
        if (failure != null) {
            metrics.count("placement_read_failures");
        } else if (found.table().revision() >= table.revision()) {
            table = found.table();
            version = found.version();
            listener.accept(table);
        }
    }
}
