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

    private record Waiter(Instant moment, Consumer<Boolean> told) {}

    ViewWaiters(ControlThread control) {
        this.control = control;
    }

    void add(Instant moment, Duration limit, Consumer<Boolean> told) {
        Waiter waiter = new Waiter(moment, told);
        waiting.add(waiter);
        control.after(limit, () -> giveUp(waiter));
    }

    /** Completes with {@code true} the callbacks whose moment the view has reached. */
    void completeReached(StoreView view) {
        List<Waiter> served = waiting.stream().filter(each -> view.reaches(each.moment())).toList();
        waiting.removeAll(served);
        served.forEach(each -> each.told().accept(true));
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    private void giveUp(Waiter waiter) {
        if (waiting.remove(waiter)) {
            waiter.told().accept(false);
        }
    }
}
