package io.damaskyoke.control.placement;

import io.damaskyoke.control.Control;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads the whole table from the store once a period, and when asked to. */
public final class PollingFeed implements PlacementFeed {
    private final Control control;
    private final PlacementStore store;
    private final Duration period;
    private final Metrics metrics;
    private Consumer<PlacementTable> listener = table -> {};
    private long revision;
    private boolean reading;
    private final List<Runnable> next = new ArrayList<>();

    /** A feed that reads once a period. */
    public PollingFeed(Control control, PlacementStore store, Duration period, Metrics metrics) {
        this.control = control;
        this.store = store;
        this.period = period;
        this.metrics = metrics;
    }

    @Override
    public void start(Consumer<PlacementTable> newListener) {
        listener = newListener;
        refresh();
        control.every(period, this::refresh);
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
        List<Runnable> steps = List.copyOf(next);
        next.clear();
        store.read()
                .whenComplete((table, failure) -> control.run(() -> ended(table, failure, steps)));
    }

    private void ended(PlacementTable table, Throwable failure, List<Runnable> steps) {
        reading = false;
        take(table, failure);
        steps.forEach(Runnable::run);
        if (!reading && !next.isEmpty()) {
            read();
        }
    }

    // Answers can overtake each other. An old one taken last would bring back a right that its
    // holder has handed back, and two VMs would load the model; so the revision only grows.
    private void take(PlacementTable table, Throwable failure) {
        if (failure != null) {
            metrics.count("placement_read_failures");
        } else if (table.revision() >= revision) {
            revision = table.revision();
            listener.accept(table);
        }
    }
}
