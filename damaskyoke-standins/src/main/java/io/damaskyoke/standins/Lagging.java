package io.damaskyoke.standins;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Objects;

/** A value that shows each change only after a lag, as lists and load reports do. */
final class Lagging<T> {
    private final Duration lag;
    private final InstantSource clock;
    private final ArrayDeque<Version<T>> coming = new ArrayDeque<>();
    private T shown;

    private record Version<T>(Instant from, T value) {}

    Lagging(T first, Duration lag, InstantSource clock) {
        if (lag.isNegative()) {
            throw new IllegalArgumentException("The lag can't be negative: " + lag);
        }
        this.shown = Objects.requireNonNull(first, "first");
        this.lag = lag;
        this.clock = clock;
    }

    synchronized void set(T value) {
        coming.add(new Version<>(clock.instant().plus(lag), value));
        value();
    }

    synchronized T value() {
        Instant now = clock.instant();
        while (!coming.isEmpty() && !coming.getFirst().from().isAfter(now)) {
            shown = coming.removeFirst().value();
        }
        return shown;
    }
}
