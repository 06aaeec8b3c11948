package io.damaskyoke.control.cold;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/**
 * Counts the answers that one upstream gave this router between two seconds and one second ago. The
 * count restarts after a gap in which the upstream may have crashed and restarted.
 */
final class AnswerWindow {
    /**
     * A crashed upstream is rarely back in less time. Answers to requests that are sent once a
     * second, when a share is free again, must not count as a gap.
     */
    private static final Duration GAP = Duration.ofMillis(1_200);

    private static final Duration FROM = Duration.ofSeconds(2);
    private static final Duration TO = Duration.ofSeconds(1);

    private final ArrayDeque<Instant> answered = new ArrayDeque<>();

    void add(Instant now) {
        removeExpired(now);
        answered.add(now);
    }

    int count(Instant now) {
        removeExpired(now);
        Instant to = now.minus(TO);
        int count = 0;
        for (Instant each : answered) {
            if (each.isAfter(to)) {
                break;
            }
            count++;
        }
        return count;
    }

    void clear() {
        answered.clear();
    }

    private void removeExpired(Instant now) {
        if (!answered.isEmpty() && answered.peekLast().plus(GAP).isBefore(now)) {
            answered.clear();
        }
        Instant from = now.minus(FROM);
        while (!answered.isEmpty() && answered.peek().isBefore(from)) {
            answered.remove();
        }
    }
}
