package io.damaskyoke.standins;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/** One answer in the making: gives out its tokens at a pace until it ends or is cancelled. */
final class Generation {
    private final List<String> tokens;
    private final Duration pace;
    private final StandInRuntime runtime;
    private final Consumer<String> onToken;
    private final Runnable onEnd;
    private int next;
    private boolean cancelled;

    Generation(
            List<String> tokens,
            Duration pace,
            StandInRuntime runtime,
            Consumer<String> onToken,
            Runnable onEnd) {
        this.tokens = tokens;
        this.pace = pace;
        this.runtime = runtime;
        this.onToken = onToken;
        this.onEnd = onEnd;
    }

    /** Makes the next token, and goes on after the pace. */
    void run() {
        if (pace.isZero()) {
            while (step()) {
                continue;
            }
        } else {
            runtime.after(pace, this::runOnce);
        }
    }

    synchronized void cancel() {
        cancelled = true;
    }

    private void runOnce() {
        if (step()) {
            runtime.after(pace, this::runOnce);
        }
    }

    private boolean step() {
        String token;
        synchronized (this) {
            if (cancelled) {
                return false;
            }
            token = next < tokens.size() ? tokens.get(next) : null;
            next++;
        }
        if (token == null) {
            onEnd.run();
            return false;
        }
        onToken.accept(token);
        return true;
    }
}
