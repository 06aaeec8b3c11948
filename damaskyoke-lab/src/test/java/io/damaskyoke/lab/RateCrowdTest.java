package io.damaskyoke.lab;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Workspaces that ask for more than their rate, at routers that take their time over messages. */
class RateCrowdTest {
    /** What is refused more than one bucket for all would refuse, as a part of what is asked. */
    private static final double MOST_BEYOND_ONE_BUCKET = 0.02;

    /** An ask, its answer, and word that the loan is spent; the rest is for asks that go astray. */
    private static final double MOST_MESSAGES = 5;

    private static final Duration DAY = Duration.ofSeconds(20);

    // Guards against asks for tokens that multiply once an owner answers late, until no workspace
    // gets its rate.
    @ParameterizedTest
    @CsvSource({"6, 1", "28, 1", "28, 2", "33, 1", "100, 1"})
    void routersThatAreBehindStillLetInWhatOneBucketWould(int routers, long seed) {
        RateCrowd exact = RateCrowd.oneBucket(seed).run(DAY);
        RateCrowd crowd = RateCrowd.of(routers, seed).run(DAY);
        assertTrue(
                crowd.refused() <= exact.refused() + MOST_BEYOND_ONE_BUCKET,
                () -> crowd + " beside one bucket " + exact);
    }

    // Guards against a storm of asks: each makes the routers that are asked slower for the next.
    @Test
    void asksForTokensStayInProportionToRequests() {
        RateCrowd crowd = RateCrowd.of(28, 1).run(DAY);
        assertTrue(crowd.messagesPerRequest() <= MOST_MESSAGES, crowd::toString);
    }
}
