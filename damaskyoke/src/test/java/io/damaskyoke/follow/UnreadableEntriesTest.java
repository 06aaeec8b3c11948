package io.damaskyoke.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.metrics.Metrics;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class UnreadableEntriesTest {
    private final List<String> lines = new ArrayList<>();
    private final UnreadableEntries entries =
            new UnreadableEntries("upstreams", new Metrics(), lines::add);

    // Guards against a log that is filled by entries of another writer, written again and again.
    @Test
    void tenThousandOddEntriesAreCountedAndAFewAreLogged() {
        for (int round = 0; round < 3; round++) {
            for (int each = 0; each < 10_000; each++) {
                assertTrue(entries.read("up/" + each, UnreadableEntriesTest::fails).isEmpty());
            }
        }
        assertEquals(10_000, entries.count());
        assertEquals(UnreadableEntries.MAX_LINES + 1, lines.size());
    }

    @Test
    void anEntryThatIsReadableAgainOrRemovedIsNotCounted() {
        entries.read("up/1", UnreadableEntriesTest::fails);
        entries.read("up/2", Optional::empty);
        entries.read("up/3", Optional::empty);
        assertEquals(3, entries.count());
        assertEquals(Optional.of(7), entries.read("up/1", () -> Optional.of(7)));
        entries.forget("up/2");
        entries.keepOnly(List.of());
        assertEquals(0, entries.count());
    }

    // Guards against a key that writes lines of its own into the log.
    @Test
    void aKeyStaysOneShortLineOfTheLog() {
        entries.read("up/\n2026 INFO fine" + "x".repeat(1_000), Optional::empty);
        assertEquals(1, lines.get(0).lines().count());
        assertTrue(lines.get(0).length() < 300);
    }

    // Guards against an entry that overflows its parser's stack and so hides the entries behind it.
    @Test
    void anEntryThatOverflowsTheStackIsSkippedLikeAnyOther() {
        assertTrue(entries.read("up/1", UnreadableEntriesTest::overflows).isEmpty());
        assertEquals(1, entries.count());
    }

    private static Optional<String> overflows() {
        return overflows();
    }

    private static Optional<String> fails() {
        throw new ArithmeticException("long overflow");
    }
}
