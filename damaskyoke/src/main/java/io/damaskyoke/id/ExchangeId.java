package io.damaskyoke.id;

import java.util.Objects;

/** Names one request in the whole fleet: who took it in, and its number there. */
public record ExchangeId(Incarnation origin, long counter) {
    /** Refuses a missing origin or a negative counter. */
    public ExchangeId {
        Objects.requireNonNull(origin, "origin");
        if (counter < 0) {
            throw new IllegalArgumentException("counter must not be negative: " + counter);
        }
    }

    @Override
    public String toString() {
        return origin + "#" + counter;
    }
}
