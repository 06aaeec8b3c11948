package io.damaskyoke.http;

import java.util.ArrayDeque;

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

    private static final Runnable NOTHING = () -> {};

    private final ArrayDeque<Body> arriving = new ArrayDeque<>();
    private final long limit;
    private long bytes;
    private long givenWay;

    /** Creates a memory for this many bytes. */
    public BodyMemory(long limit) {
        this.limit = limit;
    }

    /** One body, which may still grow. */
    public final class Body {
        private final Runnable giveWay;
        private long size;
        private long counted;

        private Body(Runnable giveWay) {
            this.giveWay = giveWay;
        }

        /**
         * Counts received bytes. Returns false if there is no memory for them; the body is of no
         * use any more then.
         */
        public boolean add(int received) {
            size += received;
            long more = Math.max(0, size - UNCOUNTED_BYTES) - counted;
            if (!makeRoom(more, this)) {
                return false;
            }
            counted += more;
            bytes += more;
            return true;
        }

        /** Records that the body is complete, so that it does not give way any more. */
        public void complete() {
            arriving.remove(this);
        }

        /** Records that the body is not in memory any more. */
        public void release() {
            arriving.remove(this);
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
        Body body = new Body(giveWay);
        arriving.add(body);
        return body;
    }

    /** Returns the empty body of an answer. */
    public Body answer() {
        return new Body(NOTHING);
    }

    private boolean makeRoom(long more, Body forBody) {
        while (bytes + more > limit) {
            Body last = arriving.peekLast();
            if (last == null || last == forBody) {
                return false;
            }
            givenWay++;
            last.giveWay.run();
            last.release();
        }
        return true;
    }

    /** Returns the number of bytes that are counted now. */
    public long bytes() {
        return bytes;
    }

    /** Returns how many arriving requests have given way to other bodies. */
    public long givenWay() {
        return givenWay;
    }
}
