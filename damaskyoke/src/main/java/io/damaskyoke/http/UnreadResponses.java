package io.damaskyoke.http;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Counts the bytes of responses that wait for callers, over all connections of a server, and closes
 * connections of callers that read slowly while there are more than the limit: {@code
 * unread.written(reader, bytes, now)} and {@code unread.taken(reader, bytes, now)}.
 *
 * <p>Only connections with unread bytes are kept here. They are scanned in {@link #refresh}, which
 * runs a few times a second, and when one of them has to be closed, but not at each write.
 */
final class UnreadResponses {
    /** Unread bytes of one connection above which a sender should pause. */
    static final int MAX_PER_CONNECTION = 256 * 1024;

    private static final long DEFAULT_LIMIT = 16 << 20;
    private static final long LOG_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
    private static final String CLOSED_MESSAGE =
            "closed connections of callers that read slowly, count=%d unread_bytes=%d limit=%d";

    private final Map<Reader, Unread> waiting = new LinkedHashMap<>();
    private final Consumer<String> log;
    private long limit = DEFAULT_LIMIT;
    private long bytes;
    private long closed;
    private long loggedClosed;
    private long loggedNanos;

    /** A connection whose caller reads responses. */
    interface Reader {
        /** Returns how many bytes the caller has taken so far; it never falls. */
        long takenBytes();

        /** Closes the connection; its caller sees that the response is incomplete. */
        void closeSlow();
    }

    private static final class Unread {
        private final Reader reader;
        private long bytes;
        private long takenBytes;
        private long takenNanos;

        Unread(Reader reader, long nowNanos) {
            this.reader = reader;
            this.takenBytes = reader.takenBytes();
            this.takenNanos = nowNanos;
        }

        void refresh(long nowNanos) {
            long taken = reader.takenBytes();
            if (taken != takenBytes) {
                takenBytes = taken;
                takenNanos = nowNanos;
            }
        }

        // A response that is written in one piece may be larger than what a sender may leave
        // unread. That alone must not make its caller the only one that may be closed.
        long countedBytes() {
            return Math.min(bytes, MAX_PER_CONNECTION);
        }
    }

    /**
     * Creates an empty count.
     *
     * @param log receives a line on closed connections, at most once a second
     */
    UnreadResponses(Consumer<String> log) {
        this.log = log;
    }

    /** Changes the limit; it is enforced at the next write. */
    void limit(long given) {
        limit = given;
    }

    /**
     * Adds bytes that were written to a connection and that its caller has not taken at once, and
     * closes connections while there are more than the limit.
     *
     * @param nowNanos the time of {@link System#nanoTime()}
     */
    void written(Reader reader, long added, long nowNanos) {
        waiting.computeIfAbsent(reader, each -> new Unread(each, nowNanos)).bytes += added;
        bytes += added;
        while (bytes > limit) {
            closeSlowest(nowNanos);
        }
    }

    /** Removes bytes that the caller has taken, or that were dropped with its connection. */
    void taken(Reader reader, long removed, long nowNanos) {
        Unread unread = waiting.get(reader);
        if (unread == null) {
            return;
        }
        bytes -= removed;
        unread.bytes -= removed;
        unread.refresh(nowNanos);
        if (unread.bytes <= 0) {
            waiting.remove(reader);
        }
    }

    /**
     * Records which callers have taken a further part of a response since the last call, and logs
     * closed connections.
     */
    void refresh(long nowNanos) {
        waiting.values().forEach(each -> each.refresh(nowNanos));
        if (closed > loggedClosed
                && (loggedClosed == 0 || nowNanos - loggedNanos >= LOG_PERIOD_NANOS)) {
            log.accept(CLOSED_MESSAGE.formatted(closed - loggedClosed, bytes, limit));
            loggedClosed = closed;
            loggedNanos = nowNanos;
        }
    }

    /** Returns the number of unread bytes of all connections. */
    long bytes() {
        return bytes;
    }

    /** Returns the number of connections that were closed as their callers read slowly. */
    long closed() {
        return closed;
    }

    // The connection is removed first: closing it reports its bytes as dropped.
    private void closeSlowest(long nowNanos) {
        Unread slowest = slowest(nowNanos);
        waiting.remove(slowest.reader);
        bytes -= slowest.bytes;
        closed++;
        slowest.reader.closeSlow();
    }

    // Closing a caller that leaves few bytes unread would gain little, however long it has taken
    // nothing. Those that leave at least half the mean are compared by that time.
    private Unread slowest(long nowNanos) {
        long sum = 0;
        for (Unread each : waiting.values()) {
            each.refresh(nowNanos);
            sum += each.countedBytes();
        }
        long least = sum / waiting.size() / 2;
        Unread slowest = null;
        for (Unread each : waiting.values()) {
            boolean longer = slowest == null || each.takenNanos - slowest.takenNanos < 0;
            if (each.countedBytes() >= least && longer) {
                slowest = each;
            }
        }
        return slowest;
    }
}
