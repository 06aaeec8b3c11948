package io.damaskyoke.follow;

import io.damaskyoke.control.ControlThread;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The callbacks that wait until all changes up to a moment are known; each runs once. */
final class ViewWaiters {
    private final ControlThread control;
    private final List<Waiter> waiting = new ArrayList<>();

    private record Waiter(Instant moment, Consumer<Boolean> callback) {}

    ViewWaiters(ControlThread control) {
        this.control = control;
    }

    void add(Instant moment, Duration limit, Consumer<Boolean> callback) {
        Waiter waiter = new Waiter(moment, callback);
        waiting.add(waiter);
        control.after(limit, () -> expire(waiter));
    }

    /** Completes with {@code true} the callbacks whose moment the view has reached. */
    void completeReached(StoreView view) {
        List<Waiter> reached =
                waiting.stream().filter(each -> view.reaches(each.moment())).toList();
        waiting.removeAll(reached);
        reached.forEach(each -> each.callback().accept(true));
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    private void expire(Waiter waiter) {
        if (waiting.remove(waiter)) {
            waiter.callback().accept(false);
        }
    }
}
