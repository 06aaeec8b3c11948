package io.damaskyoke.caller;

import io.damaskyoke.exchange.RefusalCode;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** Turns {@code Request-Timeout: 2.5} into how long the caller will wait. */
final class Deadlines {
    static final String HEADER = "Request-Timeout";

    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    private static final BigDecimal NANOS = BigDecimal.valueOf(1_000_000_000L);

    private final Duration fallback;
    private final Duration longest;

    Deadlines(Duration fallback, Duration longest) {
        this.fallback = fallback;
        this.longest = longest;
    }

    /** The wait asked for in seconds, at most the longest of the settings. */
    Duration wait(Optional<String> header) {
        Duration asked = header.map(Deadlines::seconds).orElse(fallback);
        return asked.compareTo(longest) > 0 ? longest : asked;
    }

    private static Duration seconds(String text) {
        String trimmed = text.trim();
        if (!DECIMAL.matcher(trimmed).matches()) {
            throw bad();
        }
        Duration wait = Duration.ofNanos(new BigDecimal(trimmed).multiply(NANOS).longValue());
        if (wait.isZero()) {
            throw bad();
        }
        return wait;
    }

    private static CallerException bad() {
        return CallerException.of(
                RefusalCode.BAD_DEADLINE,
                HEADER + " must be seconds as a decimal number above 0, for example 2.5");
    }
}
