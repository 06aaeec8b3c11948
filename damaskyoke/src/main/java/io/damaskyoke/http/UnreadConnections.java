package io.damaskyoke.http;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Decides when each accepted connection is read for the first time, and which ones are closed
 * instead: {@code unread.add(connection, now)}, then {@code unread.admit(now, busy)} before each
 * read pass.
 *
 * <p>A load balancer may send one router many times its usual connections. If all were read, each
 * request would take its share of the thread, and hardly any would be answered before its caller
 * leaves. A connection that is closed before its request is read costs its caller little: it may
 * send any request again, to another router. So as many connections are read in each pass as the
 * thread can serve, and those that have waited too long are closed.
 */
final class UnreadConnections {
    /**
     * A pass that keeps the thread busy for longer is followed by one with half as many new
     * connections. An answer takes a handful of passes, and its caller leaves after a second.
     */
    private static final long LONG_PASS_NANOS = Duration.ofMillis(100).toNanos();

    /** How long a connection may wait to be read. */
    private static final long MAX_WAIT_NANOS = Duration.ofMillis(250).toNanos();

    private static final int INITIAL_LIMIT = 16;
    private static final int MAX_LIMIT = 64;

    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private int limit = INITIAL_LIMIT;
    private long closed;

    /** An accepted connection of which nothing has been read. */
    interface Unread {
        /** Begins to read. */
        void startReading();

        /** Closes the connection; its caller sees that the request was not read. */
        void closeUnread();
    }

    private record Waiting(Unread connection, long sinceNanos) {}

    /** Adds a connection that was accepted at the given time of {@link System#nanoTime()}. */
    void add(Unread connection, long nowNanos) {
        waiting.add(new Waiting(connection, nowNanos));
    }

    /**
     * Starts reading the connections that the next pass can serve, the oldest first, and closes
     * those that have waited too long.
     *
     * @param nowNanos the time of {@link System#nanoTime()}
     * @param busyNanos how long the last pass and what it caused kept the thread busy
     */
    void admit(long nowNanos, long busyNanos) {
        boolean longPass = busyNanos > LONG_PASS_NANOS;
        limit = longPass ? Math.max(1, limit / 2) : Math.min(MAX_LIMIT, limit + 1);
        for (int admitted = 0; admitted < limit && !waiting.isEmpty(); admitted++) {
            waiting.remove().connection().startReading();
        }
        while (!waiting.isEmpty() && nowNanos - waiting.peek().sinceNanos() > MAX_WAIT_NANOS) {
            waiting.remove().connection().closeUnread();
            closed++;
        }
    }

    /** Returns true if connections wait to be read. */
    boolean anyWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the number of connections that were closed unread. */
    long closed() {
        return closed;
    }
}
