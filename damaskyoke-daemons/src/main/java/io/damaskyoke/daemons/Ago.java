package io.damaskyoke.daemons;

import java.time.Duration;
import java.time.InstantSource;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long ago something was, such as {@code 90s}, {@code 5m} or {@code 2h}. */
final class Ago {
    private static final Pattern FORM = Pattern.compile("(\\d{1,9})([smh])");

    private Ago() {}

    /** That point in milliseconds since 1970, as the operator port's {@code since} takes it. */
    static String millis(String text, InstantSource clock) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw CommandException.usage("--since: found " + text + "; allowed: 90s, 5m, 2h");
        }
        Duration ago = Duration.parse("PT" + matcher.group(1) + matcher.group(2));
        return Long.toString(clock.instant().minus(ago).toEpochMilli());
    }
}
