package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BodyMemoryTest {
    private static final int LIMIT = 1 << 20;
    private static final int LARGE = LIMIT / 2;

    private final BodyMemory memory = new BodyMemory(LIMIT);
    private final List<String> dropped = new ArrayList<>();

    // Guards against large bodies that leave no memory for ordinary requests.
    @Test
    void smallBodiesAreNotCounted() {
        fill();
        for (int each = 0; each < 1_000; each++) {
            assertTrue(memory.hasRoomFor(8 * 1024));
            assertTrue(memory.request(() -> {}).add(8 * 1024));
        }
    }

    // Guards against an ordinary request that is dropped, which frees nothing, as it came last.
    @Test
    void smallRequestsDoNotGiveWay() {
        BodyMemory.Body large = memory.request(() -> dropped.add("large"));
        assertTrue(large.add(LARGE));
        BodyMemory.Body small = memory.request(() -> dropped.add("small"));
        assertTrue(small.add(1_000));
        fill();
        assertEquals(List.of("large"), dropped);
    }

    // Guards against bodies that all stop half-way, so that none is ever complete.
    @Test
    void theLastOfTheArrivingRequestsGivesWay() {
        BodyMemory.Body first = memory.request(() -> dropped.add("first"));
        BodyMemory.Body second = memory.request(() -> dropped.add("second"));
        BodyMemory.Body third = memory.request(() -> dropped.add("third"));
        assertTrue(first.add(LARGE) && second.add(LARGE / 2) && third.add(LARGE / 2));
        assertTrue(first.add(LARGE / 2));
        assertEquals(List.of("third"), dropped);
        assertTrue(memory.bytes() <= LIMIT);
        assertFalse(second.add(LIMIT));
    }

    // Guards against an answer, whose request has run, that is dropped for a request that has not.
    @Test
    void anAnswerTakesTheMemoryOfArrivingRequestsButNotOfCompleteOnes() {
        BodyMemory.Body complete = memory.request(() -> dropped.add("complete"));
        BodyMemory.Body arriving = memory.request(() -> dropped.add("arriving"));
        assertTrue(complete.add(LARGE) && arriving.add(LARGE));
        complete.complete();
        BodyMemory.Body answer = memory.answer();
        assertTrue(answer.add(LARGE));
        assertEquals(List.of("arriving"), dropped);
        assertFalse(answer.add(LARGE));
    }

    // Guards against memory that is counted for bodies that are gone.
    @Test
    void releasedBodiesLeaveNothingBehind() {
        BodyMemory.Body body = memory.request(() -> dropped.add("gone"));
        body.add(LARGE);
        body.release();
        body.release();
        assertEquals(0, memory.bytes());
        fill();
        assertEquals(List.of(), dropped);
    }

    private void fill() {
        BodyMemory.Body large = memory.answer();
        assertTrue(large.add(LIMIT));
    }
}
