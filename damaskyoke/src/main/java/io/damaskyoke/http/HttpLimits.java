package io.damaskyoke.http;

import java.time.Duration;

/**
 * The limits of the size and duration of a caller's requests.
 *
 * @param headerBytes the largest size of a request's headers together, in bytes
 * @param bodyBytes the largest size of a request's body, in bytes
 * @param headerTime the longest time from the first byte of a request to its last
 * @param idleTime the longest time between two requests on a connection
 */
public record HttpLimits(int headerBytes, int bodyBytes, Duration headerTime, Duration idleTime) {
    /** Returns the limits that common servers use: 16 KB, 4 MB, 10 s, 60 s. */
    public static HttpLimits defaults() {
        return new HttpLimits(16 << 10, 4 << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
    }
}
