package io.damaskyoke.standins;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that a test moves by hand. */
final class ManualClock implements InstantSource {
    private volatile Instant now = Instant.parse("2026-12-01T00:00:00Z");

    @Override
    public Instant instant() {
        return now;
    }

    void advance(Duration time) {
        now = now.plus(time);
    }
}
