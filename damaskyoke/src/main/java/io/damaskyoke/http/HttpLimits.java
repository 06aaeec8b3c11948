package io.damaskyoke.http;

import java.time.Duration;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes of a request's headers together
 * @param bodyBytes of a request's body
 * @param headerTime from the first byte of a request to its last
 * @param idleTime between two requests
 */
public record HttpLimits(int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {
    /** Limits that common servers use: 16 KB, 4 MB, 10 s, 60 s. */
    public static HttpLimits usual() {
        return new HttpLimits(16 << 10, 4 << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
    }
}
