package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.OnlyFollowed;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Simulates one router's connection to the store and its faults: {@code path.set(State.SILENT)}. A
 * call in flight when the path falls silent is never answered, even after the path recovers.
 */
final class SimulatedStorePath extends OnlyFollowed {
    private static final Duration ONE_WAY = Duration.ofMillis(2);
    private static final Duration SLOW = Duration.ofMillis(250);

    /** The timeout of the store's client. */
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private final ControlThread control;
    private final ControlThread clock;
    private final SimulatedStore store;
    private final Set<Call<?>> inFlight = new HashSet<>();
    private State state = State.OPEN;
    private boolean up = true;
    private long calls;

    /** The fault that calls are subject to. */
    enum State {
        OPEN,
        /** Calls do not arrive and are not answered. */
        SILENT,
        /** Calls are rejected at once, and those in flight fail. */
        REFUSING,
        /** Each answer takes a quarter of a second. */
        SLOW,
        /** Calls arrive and are carried out; their answers are lost. */
        ONE_WAY
    }

    private record Call<T>(CompletableFuture<T> answer) {}

    /**
     * Creates a path whose router's timers run on {@code control}, the store's on {@code clock}.
     */
    SimulatedStorePath(ControlThread control, ControlThread clock, SimulatedStore store) {
        this.control = control;
        this.clock = clock;
        this.store = store;
    }

    /** Returns the number of calls so far. */
    long calls() {
        return calls;
    }

    State state() {
        return state;
    }

    void set(State newState) {
        state = newState;
        if (newState == State.SILENT || newState == State.ONE_WAY) {
            inFlight.clear();
        } else if (newState == State.REFUSING) {
            List<Call<?>> interrupted = List.copyOf(inFlight);
            inFlight.clear();
            interrupted.forEach(each -> fail(each, "reset"));
        }
    }

    @Override
    public CompletionStage<Listing> list(String prefix) {
        return call(
                Duration.ZERO,
                () ->
                        CompletableFuture.completedFuture(
                                new Listing(store.list(prefix), store.revision())));
    }

    @Override
    public CompletionStage<Listing> listPossiblyStale(String prefix) {
        return call(
                Duration.ZERO, () -> CompletableFuture.completedFuture(store.staleList(prefix)));
    }

    @Override
    public CompletionStage<Changes> changes(String prefix, long after, Duration wait) {
        return call(wait, () -> store.changes(prefix, after, wait));
    }

    private <T> CompletionStage<T> call(Duration wait, Supplier<CompletableFuture<T>> carriedOut) {
        calls++;
        Call<T> call = new Call<>(new CompletableFuture<>());
        control.after(wait.plus(TIMEOUT), () -> fail(call, "no answer"));
        if (state == State.REFUSING) {
            clock.after(ONE_WAY, () -> fail(call, "refused"));
            return call.answer;
        }
        if (state != State.SILENT) {
            boolean answerLost = state == State.ONE_WAY;
            if (!answerLost) {
                inFlight.add(call);
            }
            clock.after(oneWay(), () -> arrive(call, carriedOut));
        }
        return call.answer;
    }

    private <T> void arrive(Call<T> call, Supplier<CompletableFuture<T>> carriedOut) {
        carriedOut
                .get()
                .whenComplete(
                        (value, failure) ->
                                clock.after(oneWay(), () -> deliverAnswer(call, value, failure)));
    }

    private <T> void deliverAnswer(Call<T> call, T value, Throwable failure) {
        if (!inFlight.remove(call)) {
            return;
        }
        up = true;
        if (failure == null) {
            call.answer.complete(value);
        } else {
            call.answer.completeExceptionally(failure);
        }
    }

    private void fail(Call<?> call, String why) {
        inFlight.remove(call);
        if (call.answer.completeExceptionally(SimulatedStore.unavailable(why))) {
            up = false;
        }
    }

    private Duration oneWay() {
        return state == State.SLOW ? SLOW.dividedBy(2) : ONE_WAY;
    }

    @Override
    public boolean up() {
        return up;
    }
}
