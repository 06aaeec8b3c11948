package io.damaskyoke.control.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int ROUTERS = 4;
    private static final double RATIO = 0.2;
    private static final double EXTRA = 52;

    @Test
    void aRouterWithoutRequestsGetsItsEqualShareOfTheExtra() {
        SharedRetryBudget budget = new SharedRetryBudget(WINDOW, RATIO, EXTRA);
        int taken = 0;
        while (budget.takeRetry(ROUTERS, Instant.EPOCH)) {
            taken++;
        }
        assertEquals(9, taken);
    }

    @Test
    void retriesStayWithinTheLimitInEveryWindow() {
        // All upstreams fail, and each router retries every request once. In any ten seconds the
        // retries of all routers together stay within the common limit.
        SplittableRandom random = new SplittableRandom(7);
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            budgets.add(new SharedRetryBudget(WINDOW, RATIO, EXTRA));
        }
        List<Integer> retriesAt = new ArrayList<>();
        List<Integer> requestsAt = new ArrayList<>();
        for (int millis = 0; millis < 40_000; millis += 10) {
            Instant now = Instant.ofEpochMilli(millis);
            SharedRetryBudget budget = budgets.get(random.nextInt(ROUTERS));
            budget.recordRequest(now);
            requestsAt.add(millis);
            if (budget.takeRetry(ROUTERS, now)) {
                retriesAt.add(millis);
            }
        }
        for (int start = 0; start <= 30_000; start += 500) {
            long retries = within(retriesAt, start);
            double bound = RATIO * within(requestsAt, start) + EXTRA;
            assertTrue(retries <= bound, "from " + start + ": " + retries + " of " + bound);
        }
    }

    private static long within(List<Integer> times, int start) {
        long end = start + WINDOW.toMillis();
        return times.stream().filter(at -> at >= start && at < end).count();
    }
}
