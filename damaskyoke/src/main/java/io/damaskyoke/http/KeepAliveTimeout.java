package io.damaskyoke.http;

import java.util.concurrent.TimeUnit;

/** How long a client may reuse an idle connection, by what the server says in Keep-Alive. */
final class KeepAliveTimeout {
    /**
     * Used if the server sends no keep-alive timeout: common servers close an idle connection after
     * five seconds.
     */
    static final long DEFAULT_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * Subtracted from the server's keep-alive timeout, which is in whole seconds, so that the
     * connection may close up to a second earlier.
     */
    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private static final String PARAMETER = "timeout=";
    private static final int MAX_DIGITS = 6;

    private KeepAliveTimeout() {}

    /**
     * Returns the timeout in nanoseconds that the value of a Keep-Alive header names.
     *
     * @param value null if there is no such header
     * @param otherwise returned if it names none
     */
    static long nanos(String value, long otherwise) {
        int at = value == null ? -1 : value.indexOf(PARAMETER);
        if (at < 0) {
            return otherwise;
        }
        String digits = value.substring(at + PARAMETER.length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > MAX_DIGITS) {
            return otherwise;
        }
        long named = TimeUnit.SECONDS.toNanos(Long.parseLong(digits));
        return Math.max(0, named - MARGIN_NANOS);
    }
}
