package io.damaskyoke.control.placement;

import java.util.function.Consumer;

/**
 * Delivers the placement table to a process. All methods are called on the control thread.
 *
 * <p>A feed that an agent loads models by must deliver only tables read from the store itself: a
 * table passed on by a paused peer may show a grant that has since moved to another VM.
 */
public interface PlacementFeed {
    /** Starts the feed; the listener receives each table that is not older than the one before. */
    void start(Consumer<PlacementTable> listener);

    /** Looks for a newer table now. */
    default void refresh() {
        refresh(() -> {});
    }

    /**
     * Looks for a newer table now and runs the step afterwards, also if the store did not answer.
     */
    void refresh(Runnable afterwards);
}
