package io.damaskyoke.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ChangeHistoryTest {
    private static final int VALUE_BYTES = 250_000;
    private static final int WRITES = 400;

    /** A frame to another process has room for twice as many. */
    private static final int MAX_BYTES = 1 << 20;

    private final ChangeHistory history = new ChangeHistory();

    // Guards against an entry that is written again and again and fills the heap with its changes.
    @Test
    void largeChangesAreForgottenSooner() {
        history.startAt(0);
        for (int revision = 1; revision <= WRITES; revision++) {
            history.add(List.of(change(revision, VALUE_BYTES)));
        }
        int kept = MAX_BYTES / VALUE_BYTES;
        assertEquals(kept, history.after(WRITES - kept).orElseThrow().size());
        assertTrue(history.after(WRITES - kept - 1).isEmpty());
    }

    // Guards against a change that can't be kept and is taken for one that has not happened.
    @Test
    void aChangeThatIsTooLargeIsToBeAskedOfTheStore() {
        history.startAt(0);
        history.add(List.of(change(1, MAX_BYTES)));
        assertTrue(history.after(0).isEmpty());
        assertEquals(List.of(), history.after(1).orElseThrow());
    }

    private static Change change(int revision, int bytes) {
        return new Change(
                "k", revision, Optional.of(new Entry("k", new byte[bytes], revision, 1, 0)));
    }
}
