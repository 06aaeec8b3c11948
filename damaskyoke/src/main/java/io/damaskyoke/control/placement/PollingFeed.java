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
 * Looks at the table's version in the store at the pace of the fleet's size, and when asked to, and
 * reads the table itself only if the version is a new one.
 *
 * <p>What a process knows may thus be some seconds old. A router with an old view sends to an agent
 * that has no right any more and refuses; an agent with an old view keeps a replica under a right
 * that nobody but itself removes, except for one that stood suspected (see {@link
 * ReadPace#LONGEST}).
 */
public final class PollingFeed implements PlacementFeed {
    private static final Duration TICK = Duration.ofMillis(250);

    private final ControlThread control;
    private final PlacementStore store;
    private final Supplier<Duration> pause;
    private final Metrics metrics;
    private Consumer<PlacementTable> listener = table -> {};
    private PlacementTable table = PlacementTable.UNREAD;
    private long version = -1;
    private Instant due = Instant.MIN;
    private boolean reading;
    private final List<Runnable> next = new ArrayList<>();

    /** A feed that waits for {@code pause}, asked each time, between two looks. */
    public PollingFeed(
            ControlThread control,
            PlacementStore store,
            Supplier<Duration> pause,
            Metrics metrics) {
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

    // A step that comes while a read is under way waits for the next one: the one under way may
    // have seen the store as it was before the step had a reason to ask.
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
    // the table: a write in between is then seen as new by the next look, and none is missed.
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

    // An old table taken last would bring back a right that its holder has handed back, and two VMs
    // would load the model; so the revision only grows. The known table is told again at each look,
    // as a listener may now hear from a VM that it didn't hear from before.
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
