package io.damaskyoke.http;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The pause that a {@code Retry-After} header asks for: {@code RetryAfter.parse(List.of("2.5"),
 * Optional.empty(), now)}.
 *
 * <p>The value is a number of seconds, with or without a fraction, or an HTTP date. If there are
 * several values, the longest valid one counts.
 *
 * @param pause the time for which no request is wanted; zero unless the kind is {@code VALID}
 */
public record RetryAfter(Kind kind, Duration pause) {
    /** Whether an answer asks for a pause. */
    public enum Kind {
        /** The answer has no such header. */
        NONE,
        /** The header states a pause, which may be zero. */
        VALID,
        /** The header is neither a number of seconds nor a date. */
        INVALID
    }

    /** No header. */
    public static final RetryAfter NONE = new RetryAfter(Kind.NONE, Duration.ZERO);

    /** A header without a meaning. */
    public static final RetryAfter INVALID = new RetryAfter(Kind.INVALID, Duration.ZERO);

    /** Longer pauses count as this one, so that sums of times do not overflow. */
    private static final Duration LONGEST = Duration.ofDays(365);

    private static final Pattern SECONDS = Pattern.compile("(\\d{1,64})(?:\\.(\\d{0,64}))?");
    private static final int MAX_DIGITS = 9;
    private static final int MAX_VALUES = 8;

    /** Returns a valid header with this pause. */
    public static RetryAfter of(Duration pause) {
        return new RetryAfter(Kind.VALID, pause);
    }

    /**
     * Parses the values of the header.
     *
     * @param date the value of the answer's {@code Date} header, from which a date counts, so that
     *     the server's clock may differ from this one
     * @param now the time of day from which a date counts otherwise
     */
    public static RetryAfter parse(List<String> values, Optional<String> date, Instant now) {
        if (values.isEmpty()) {
            return NONE;
        }
        Instant from = date.flatMap(RetryAfter::instant).orElse(now);
        return split(values).stream()
                .limit(MAX_VALUES)
                .map(value -> pause(value.strip(), from))
                .flatMap(Optional::stream)
                .max(Duration::compareTo)
                .map(RetryAfter::of)
                .orElse(INVALID);
    }

    // A proxy may join several values by commas; the usual form of a date contains one too.
    private static List<String> split(List<String> values) {
        List<String> all = new ArrayList<>();
        for (String value : values) {
            boolean isList = value.indexOf(',') >= 0 && instant(value.strip()).isEmpty();
            all.addAll(isList ? Arrays.asList(value.split(",")) : List.of(value));
        }
        return all;
    }

    private static Optional<Duration> pause(String value, Instant from) {
        Matcher matcher = SECONDS.matcher(value);
        if (matcher.matches()) {
            return Optional.of(seconds(matcher.group(1), matcher.group(2)));
        }
        return instant(value)
                .map(until -> Duration.between(from, until))
                .map(pause -> pause.isNegative() ? Duration.ZERO : shorter(pause, LONGEST));
    }

    private static Duration seconds(String digits, String fraction) {
        String significant = digits.replaceFirst("^0+(?=\\d)", "");
        if (significant.length() > MAX_DIGITS) {
            return LONGEST;
        }
        String padded = ((fraction == null ? "" : fraction) + "000000000").substring(0, MAX_DIGITS);
        Duration pause = Duration.ofSeconds(Long.parseLong(significant), Long.parseLong(padded));
        return shorter(pause, LONGEST);
    }

    private static Optional<Instant> instant(String text) {
        try {
            ZonedDateTime date = ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME);
            return Optional.of(date.toInstant());
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }
}
