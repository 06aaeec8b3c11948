package io.damaskyoke.control.rates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AnswerTimeEstimateTest {
    private final AnswerTimeEstimate time = new AnswerTimeEstimate();

    @Test
    void routersThatAnswerAtOnceAreWaitedForShortly() {
        for (int i = 0; i < 50; i++) {
            time.recordAnswer(Duration.ofMillis(3));
        }
        assertEquals(Duration.ofMillis(40), time.timeout());
    }

    // Guards against a timeout while a slow router is about to answer: the tokens that still arrive
    // are lost until the transfer expires.
    @Test
    void routersOnATenthOfACoreAreWaitedForAsLongAsTheyTake() {
        for (int i = 0; i < 20; i++) {
            time.recordAnswer(Duration.ofMillis(45));
        }
        assertTrue(time.timeout().toMillis() > 150, time.timeout().toString());
    }

    // Guards against a timeout that never grows because answers after it are not measured.
    @Test
    void patienceGrowsWhereNothingIsHeardInTimeAndHasAnEnd() {
        for (int i = 0; i < 20; i++) {
            time.recordTimeout();
        }
        assertEquals(Duration.ofMillis(250), time.timeout());
    }
}
