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
    private static final Duration MAX_GAP = Duration.ofMillis(1_200);

    private static final Duration OLDEST_AGE = Duration.ofSeconds(2);
    private static final Duration NEWEST_AGE = Duration.ofSeconds(1);

    private final ArrayDeque<Instant> answers = new ArrayDeque<>();

    void add(Instant now) {
        removeExpired(now);
        answers.add(now);
    }

    int count(Instant now) {
        removeExpired(now);
        Instant to = now.minus(NEWEST_AGE);
        int count = 0;
        for (Instant each : answers) {
            if (each.isAfter(to)) {
                break;
            }
            count++;
        }
        return count;
    }

    void clear() {
        answers.clear();
    }

    private void removeExpired(Instant now) {
        if (!answers.isEmpty() && answers.peekLast().plus(MAX_GAP).isBefore(now)) {
            answers.clear();
        }
        Instant from = now.minus(OLDEST_AGE);
        while (!answers.isEmpty() && answers.peek().isBefore(from)) {
            answers.remove();
        }
    }
}
