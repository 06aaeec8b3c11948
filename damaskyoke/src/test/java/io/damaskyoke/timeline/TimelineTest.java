package io.damaskyoke.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class TimelineTest {
    private long millis = 1_000;
    private final Timeline timeline =
            Timeline.of("router-1", HybridClock.over(() -> Instant.ofEpochMilli(millis)), 100);

    @Test
    void noNumberOfRequestsPushesAChangeOfStateOut() {
        // A zone's store went down, and then thousands of requests came. The operator who asks a
        // minute later still finds when it went down; a common ring has forgotten it.
        timeline.add(EventType.STORE_DOWN, "store");
        for (int i = 0; i < 5_000; i++) {
            millis++;
            timeline.add(EventType.REQUEST, "request-" + i);
        }
        List<Event> events = timeline.events();
        assertEquals(101, events.size());
        assertEquals(EventType.STORE_DOWN, events.get(0).type());
        assertEquals("request-4999", events.get(100).subject());
        assertEquals(4_900, timeline.dropped());
    }

    @Test
    void bothKindsComeInTheOrderInWhichTheyHappened() {
        timeline.add(EventType.REQUEST, "a");
        timeline.add(EventType.LOAD_BEGUN, "b");
        timeline.add(EventType.ANSWERED, "c");
        List<String> subjects = timeline.events().stream().map(Event::subject).toList();
        assertEquals(List.of("a", "b", "c"), subjects);
    }

    @Test
    void aKindOfEventIsPerRequestOrAChange() {
        assertTrue(EventType.REFUSED.perRequest());
        assertTrue(!EventType.LEASE_LOST.perRequest());
    }
}
