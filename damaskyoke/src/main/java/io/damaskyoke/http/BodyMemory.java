package io.damaskyoke.http;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts the bytes of large bodies in memory, over all connections: requests until they are
 * answered, and answers until they are passed on. {@code Body body = memory.answer(); if
 * (!body.add(bytes)) ...; body.release()}.
 *
 * <p>The first bytes of each body are not counted, so that ordinary requests are served whatever
 * the large ones take. When the limit is reached, requests that still arrive give way, the last one
 * first: none of them has run, and the last one has the longest way to go.
 *
 * <p>For one thread.
 */
public final class BodyMemory {
    private static final long UNCOUNTED_BYTES = 16 * 1024;

    /** The large requests that still arrive, by the number of each, in the order of their heads. */
    private final TreeMap<Long, Body> arriving = new TreeMap<>();

    private final long limit;
    private long bytes;
    private long lastNumber;

    /** Creates a memory for this many bytes. */
    public BodyMemory(long limit) {
        this.limit = limit;
    }

    /** One body, which may still grow. */
    public final class Body {
        private final Optional<Runnable> giveWay;
        private final long number = ++lastNumber;
        private long size;
        private long counted;

        private Body(Optional<Runnable> giveWay) {
            this.giveWay = giveWay;
        }

        /**
         * Counts received bytes. Returns false if there is no memory for them; the body is of no
         * use any more then.
         */
        public boolean add(int received) {
            size += received;
            long more = Math.max(0, size - UNCOUNTED_BYTES) - counted;
            if (counted == 0 && more > 0 && giveWay.isPresent()) {
                arriving.put(number, this);
            }
            if (!makeRoom(more, this)) {
                return false;
            }
            counted += more;
            bytes += more;
            return true;
        }

        /** Records that the body is complete, so that it does not give way any more. */
        public void complete() {
            arriving.remove(number);
        }

        /** Records that the body is not in memory any more. */
        public void release() {
            arriving.remove(number);
            bytes -= counted;
            counted = 0;
        }
    }

    /** Returns true if a body of this size would fit beside those that are in memory now. */
    boolean hasRoomFor(long size) {
        return bytes + Math.min(size, Integer.MAX_VALUE) - UNCOUNTED_BYTES <= limit;
    }

    /**
     * Returns the empty body of a request that arrives.
     *
     * @param giveWay drops the request, which releases its body
     */
    Body request(Runnable giveWay) {
        return new Body(Optional.of(giveWay));
    }

    /** Returns the empty body of an answer. */
    public Body answer() {
        return new Body(Optional.empty());
    }

    private boolean makeRoom(long more, Body forBody) {
        while (bytes + more > limit) {
            Map.Entry<Long, Body> last = arriving.lastEntry();
            if (last == null || last.getValue() == forBody) {
                return false;
            }
            last.getValue().giveWay.ifPresent(Runnable::run);
            last.getValue().release();
        }
        return true;
    }

    /** Returns the number of bytes that are counted now. */
    public long bytes() {
        return bytes;
    }
}
