package io.damaskyoke.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ClaimPropertyTest {
    @Property(seed = "21", tries = 300)
    void noPaymentRunsTwiceAndNoRefusalLies(@ForAll long seed) {
        // Three routers, two agents, four keys that callers repeat forty times, also at once. The
        // store is down, slow or loses answers; routers and agents die; frames are lost before and
        // after the run; callers leave. Still each key runs once at most, "not run" is true of the
        // key, and every answer that a key ever got is the same.
        ClaimWorld world = new ClaimWorld(seed, false);
        world.run();
        assertEquals(List.of(), world.broken);
    }

    @Property(seed = "21", tries = 20)
    void withoutClaimsPaymentsRunAgain(@ForAll long seed) {
        // The naive router sends a request again when its link breaks, and knows nothing of the
        // tries at other routers; so the same schedules charge growers twice.
        ClaimWorld naive = new ClaimWorld(seed, true);
        naive.run();
        assertTrue(naive.executions.values().stream().anyMatch(times -> times > 1));
    }

    @Test
    void mostRepeatsLearnTheOutcome() {
        // What callers get over many such worlds: were everything refused, nothing would run twice
        // either, and nobody would be served.
        Map<String, Integer> answers = new TreeMap<>();
        for (int seed = 0; seed < 100; seed++) {
            ClaimWorld world = new ClaimWorld(seed, false);
            world.run();
            world.answers.forEach((answer, times) -> answers.merge(answer, times, Integer::sum));
        }
        int all = answers.values().stream().mapToInt(times -> times).sum();
        assertTrue(answers.get("served") > all / 2, answers.toString());
    }
}
