package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.direct.StatementSimulation.Safeguards;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a router keeps to what upstreams say in their answers, over random histories. */
class UpstreamStatementsTest {
    /** Other seeds can be run with {@code -Dstatements.first=1000 -Dstatements.count=1000}. */
    private static final long FIRST = Long.getLong("statements.first", 1);

    private static final int SEEDS = Integer.getInteger("statements.count", 100);
    private static final int SECONDS = 60;
    private static final double LEAST_AT_ONCE = 0.95;

    // Guards against requests in a pause or after a departure, whatever overtakes what; and against
    // upstreams that stay unused although they would take requests.
    @Test
    void noUpstreamGetsRequestsThatItSaidItDoesNotWant() {
        List<String> broken = new ArrayList<>();
        double shares = 0;
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            StatementSimulation played = new StatementSimulation(seed, Safeguards.ALL);
            List<String> violations = played.play(SECONDS);
            if (!violations.isEmpty()) {
                broken.add("seed " + seed + ": " + violations);
            }
            shares += played.shareServedAtOnce();
        }
        assertEquals(List.of(), broken);
        assertTrue(shares / SEEDS >= LEAST_AT_ONCE, shares / SEEDS + " were sent at once");
    }

    // Guards against a simulation that detects nothing.
    @ParameterizedTest
    @CsvSource({
        "false, true, true, BUDGET",
        "true, false, true, DRAIN",
        "true, true, false, BUDGET"
    })
    void withoutASafeguardRulesAreBroken(
            boolean readsPauses, boolean readsDepartures, boolean checksBeforeSend, String rule) {
        Safeguards safeguards = new Safeguards(readsPauses, readsDepartures, checksBeforeSend);
        boolean found =
                LongStream.range(1, 60)
                        .mapToObj(seed -> new StatementSimulation(seed, safeguards).play(SECONDS))
                        .flatMap(List::stream)
                        .anyMatch(violation -> violation.startsWith(rule));
        assertTrue(found);
    }
}
