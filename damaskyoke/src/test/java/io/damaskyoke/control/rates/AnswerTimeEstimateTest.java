package io.damaskyoke.control.rates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AnswerTimeEstimateTest {
    private final AnswerTimeEstimate estimate = new AnswerTimeEstimate();

    @Test
    void routersThatAnswerFastGetTheShortestTimeout() {
        for (int i = 0; i < 50; i++) {
            estimate.recordAnswer(Duration.ofMillis(3));
        }
        assertEquals(Duration.ofMillis(40), estimate.timeout());
    }

    // Guards against a timeout while a slow router is about to answer: the tokens that still arrive
    // are lost until the transfer expires.
    @Test
    void slowRoutersGetATimeoutLongerThanTheirAnswerTime() {
        for (int i = 0; i < 20; i++) {
            estimate.recordAnswer(Duration.ofMillis(45));
        }
        assertTrue(estimate.timeout().toMillis() > 150, estimate.timeout().toString());
    }

    // Guards against a timeout that never grows because answers after it are not measured.
    @Test
    void theTimeoutGrowsWithoutAnswersUpToALimit() {
        for (int i = 0; i < 20; i++) {
            estimate.recordTimeout();
        }
        assertEquals(Duration.ofMillis(250), estimate.timeout());
    }
}
