package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parser of the {@code Retry-After} header. */
class RetryAfterTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");

    @ParameterizedTest
    @CsvSource({"3, 3000", "2.5, 2500", " 7 , 7000", "0, 0", "0.05, 50", "007, 7000", "4., 4000"})
    void aNumberOfSecondsIsReadWithItsFraction(String value, long millis) {
        assertEquals(RetryAfter.of(Duration.ofMillis(millis)), parse(value));
    }

    // Guards against an upstream that is paused, or an answer that is dropped, for a value that
    // means nothing.
    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "-3", "NaN", "Infinity", "1e400", "0x10", "3s", ".", ","})
    void aValueWithoutAMeaningIsInvalid(String value) {
        assertEquals(RetryAfter.INVALID, parse(value));
    }

    // Guards against an overflow by figures that no clock holds.
    @ParameterizedTest
    @ValueSource(strings = {"99999999999999999999999999", "999999999.9", "604800000"})
    void aHugeValueIsAYear(String value) {
        assertEquals(RetryAfter.of(Duration.ofDays(365)), parse(value));
    }

    @Test
    void aDateIsReadAsTheTimeUntilThen() {
        String date = "Fri, 4 Dec 2026 10:00:05 GMT";
        assertEquals(RetryAfter.of(Duration.ofSeconds(5)), parse(date));
        assertEquals(RetryAfter.of(Duration.ZERO), parse("Fri, 4 Dec 2026 09:00:00 GMT"));
    }

    // Guards against a pause of an hour, or none, where the upstream's clock is set differently.
    @Test
    void aDateCountsFromTheDateOfTheAnswer() {
        RetryAfter read =
                RetryAfter.parse(
                        List.of("Fri, 4 Dec 2026 11:00:03 GMT"),
                        Optional.of("Fri, 4 Dec 2026 11:00:00 GMT"),
                        NOW);
        assertEquals(RetryAfter.of(Duration.ofSeconds(3)), read);
    }

    @Test
    void theLongestOfSeveralValuesCounts() {
        RetryAfter read = RetryAfter.parse(List.of("1", "soon", "4", "2"), Optional.empty(), NOW);
        assertEquals(RetryAfter.of(Duration.ofSeconds(4)), read);
        assertEquals(RetryAfter.of(Duration.ofSeconds(3)), parse("1, 3"));
    }

    @Test
    void withoutTheHeaderThereIsNone() {
        RetryAfter read = RetryAfter.parse(List.of(), Optional.empty(), NOW);
        assertEquals(RetryAfter.NONE, read);
        assertTrue(read.pause().isZero());
    }

    private static RetryAfter parse(String value) {
        return RetryAfter.parse(List.of(value), Optional.empty(), NOW);
    }
}
