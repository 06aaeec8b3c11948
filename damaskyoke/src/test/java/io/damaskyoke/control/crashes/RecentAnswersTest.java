package io.damaskyoke.control.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RecentAnswersTest {
    private static final RequestDigest ONE = new RequestDigest("01");
    private static final Instant SENT = Instant.ofEpochSecond(100);

    private final RecentAnswers recent = new RecentAnswers(2);

    @Test
    void aSuccessIsRememberedWithItsTimes() {
        recent.succeeded(ONE, SENT, SENT.plusSeconds(1));
        assertEquals(
                Optional.of(new RecentAnswers.Success(SENT, SENT.plusSeconds(1))),
                recent.of(ONE).success());
    }

    @Test
    void failuresCountSinceTheLastSuccess() {
        recent.borne(ONE);
        recent.succeeded(ONE, SENT, SENT.plusSeconds(1));
        recent.borne(ONE);
        recent.borne(ONE);
        assertEquals(2, recent.of(ONE).borne());
    }

    // Guards against memory use that grows with each answer.
    @Test
    void whatWasSeenLongestAgoIsForgotten() {
        recent.borne(ONE);
        recent.borne(new RequestDigest("02"));
        recent.borne(new RequestDigest("03"));
        assertEquals(0, recent.of(ONE).borne());
    }
}
