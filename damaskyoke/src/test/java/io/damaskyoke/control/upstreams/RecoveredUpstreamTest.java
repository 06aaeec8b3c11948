package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Two upstreams, of which one takes 5 ms and the other 30 ms, and one request after the other. */
class RecoveredUpstreamTest {
    private static final Duration QUICK = Duration.ofMillis(5);
    private static final Duration SLOW = Duration.ofMillis(30);
    private static final Duration PLAY = Duration.ofSeconds(12);
    private static final Duration TIME_TO_RECOVER = Duration.ofSeconds(7);

    private final UpstreamTable table = new UpstreamTable();
    private final UpstreamSelector selector =
            new UpstreamSelector("a", 1.0, (upstream, all) -> (int) all);
    private final Map<String, Integer> requests = new HashMap<>();
    private Instant now = Instant.ofEpochSecond(100);

    // Guards against an upstream that gets nothing for good after a single slow answer.
    @Test
    void anUpstreamThatWasSlowOnceGetsMostRequestsAgain() {
        list("quick", "slow");
        serve("quick", Duration.ofMillis(400));
        serve("slow", SLOW);
        assertQuickGetsMostAfterRecovery();
    }

    // Guards against an upstream that gets nothing for good after a single failure.
    @Test
    void anUpstreamThatFailedOnceGetsMostRequestsAgain() {
        list("quick", "slow");
        serve("quick", QUICK);
        serve("slow", SLOW);
        find("quick").requestAssigned(null, now);
        find("quick").requestFailed(now);
        find("quick").requestFinished(null);
        assertQuickGetsMostAfterRecovery();
    }

    // Guards against a slow upstream that is tried so often that callers notice it.
    @Test
    void anUpstreamThatIsAlwaysSlowGetsFewRequests() {
        list("quick", "slow");
        serve("quick", QUICK);
        serve("slow", SLOW);
        play(PLAY);
        assertTrue(share("slow") < 0.01, requests.toString());
    }

    private void assertQuickGetsMostAfterRecovery() {
        play(TIME_TO_RECOVER);
        requests.clear();
        play(PLAY);
        assertTrue(share("quick") > 0.9, requests.toString());
    }

    private void play(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            Upstream next =
                    selector.pick(List.copyOf(table.all()), null, Set.of(), now).orElseThrow();
            String name = next.facts().id().value();
            requests.merge(name, 1, Integer::sum);
            serve(name, name.equals("quick") ? QUICK : SLOW);
        }
    }

    private void serve(String name, Duration time) {
        Upstream upstream = find(name);
        upstream.requestAssigned(null, now);
        now = now.plus(time);
        upstream.requestAnswered(time, now);
        upstream.requestFinished(null);
    }

    private double share(String name) {
        int all = requests.values().stream().mapToInt(Integer::intValue).sum();
        return requests.getOrDefault(name, 0) / (double) all;
    }

    private Upstream find(String name) {
        return table.find(UpstreamId.of(name)).orElseThrow();
    }

    private void list(String... names) {
        for (String name : names) {
            table.put(TestFacts.of(name, 1, "service", 4, HeldModels.none(1)), now);
        }
    }
}
