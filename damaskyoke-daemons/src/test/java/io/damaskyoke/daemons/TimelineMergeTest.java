package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.timeline.Event;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TimelineMergeTest {
    private long now = 1_000_000;

    @Test
    void anEffectFollowsItsCauseOnAClockThatIsBehind() {
        // The agent's clock is 400 ms behind the router's. By wall clocks, the agent would run the
        // request before the router got it, and the operator would read the story backwards.
        Timeline router = timeline("router-1", 400);
        Timeline agent = timeline("agent-1", 0);
        router.add(EventType.REQUEST, "r");
        frame(router, agent);
        agent.add(EventType.HANDED_OVER, "r");
        now += 5;
        agent.add(EventType.ANSWERED, "r");
        frame(agent, router);
        router.add(EventType.ANSWERED, "r");
        assertEquals(
                List.of(
                        "router-1 request",
                        "agent-1 handed-over",
                        "agent-1 answered",
                        "router-1 answered"),
                merged(List.of(agent, router)));
    }

    @Property(seed = "20261203", tries = 200)
    void aChainOfFramesKeepsItsOrderUnderAnySkew(
            @ForAll List<@IntRange(min = -500, max = 500) Integer> skews,
            @ForAll @IntRange(max = 3) int step) {
        List<Timeline> processes = skews.stream().map(skew -> timeline("vm" + skew, skew)).toList();
        for (int i = 0; i < processes.size(); i++) {
            if (i > 0) {
                frame(processes.get(i - 1), processes.get(i));
            }
            processes.get(i).add(EventType.HANDED_OVER, String.valueOf(i));
            now += step;
        }
        List<String> subjects =
                TimelineMerge.of(processes.stream().map(TimelineMergeTest::body).toList())
                        .lines()
                        .map(line -> FleetClient.json(line).path("subject").asText())
                        .toList();
        for (int i = 0; i < subjects.size(); i++) {
            assertEquals(String.valueOf(i), subjects.get(i));
        }
    }

    private Timeline timeline(String process, int skewMillis) {
        return Timeline.of(
                process, HybridClock.over(() -> Instant.ofEpochMilli(now + skewMillis)), 100);
    }

    private static void frame(Timeline from, Timeline to) {
        to.clock().heard(from.clock().now().packed());
    }

    private static List<String> merged(List<Timeline> processes) {
        return TimelineMerge.of(processes.stream().map(TimelineMergeTest::body).toList())
                .lines()
                .map(FleetClient::json)
                .map(TimelineMergeTest::summary)
                .toList();
    }

    private static String summary(JsonNode event) {
        return event.path("process").asText() + " " + event.path("type").asText();
    }

    private static String body(Timeline timeline) {
        return timeline.events().stream()
                .map(TimelineMergeTest::line)
                .collect(Collectors.joining("\n"));
    }

    private static String line(Event event) {
        return "{\"time\":%d,\"counter\":%d,\"process\":\"%s\",\"type\":\"%s\",\"subject\":\"%s\"}"
                .formatted(
                        event.at().millis(),
                        event.at().counter(),
                        event.process(),
                        event.type().label(),
                        event.subject());
    }
}
