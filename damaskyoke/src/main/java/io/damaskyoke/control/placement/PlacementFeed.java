package io.damaskyoke.control.placement;

import java.util.function.Consumer;

/**
 * Brings the placement table to a process; every method belongs to the control thread. Only tables
 * that the store itself gave may come through a feed that a holder loads by: one passed on by a
 * paused peer may show a right that has moved since.
 */
public interface PlacementFeed {
    /** Begins; the listener hears of each table that is not older than the one before. */
    void start(Consumer<PlacementTable> listener);

    /** Looks for a newer one now. */
    default void refresh() {
        refresh(() -> {});
    }

    /** Looks for a newer one and runs the step afterwards, also if the store did not answer. */
    void refresh(Runnable afterwards);
}
