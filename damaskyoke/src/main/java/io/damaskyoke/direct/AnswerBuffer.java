package io.damaskyoke.direct;

import io.damaskyoke.http.BodyMemory;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects the body of an answer: {@code buffer.add(part)}, {@code buffer.take()}.
 *
 * <p>Small parts are copied together. Kept as they came, a part of one byte would take a hundred
 * bytes, and might hold the whole buffer that it was read into.
 */
final class AnswerBuffer {
    /** Parts of at least this size are kept as they came. */
    private static final int LARGE_PART_BYTES = 4 * 1024;

    private static final int COPY_BYTES = 16 * 1024;

    /** An answer may have this many parts whatever their size. */
    private static final int MANY_PARTS = 4 * 1024;

    /** The least mean size of the parts beyond that. Each takes the time of the thread. */
    private static final int MIN_MEAN_PART_BYTES = 64;

    private final CompositeByteBuf parts = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    private final BodyMemory.Body memory;
    private ByteBuf copies = Unpooled.EMPTY_BUFFER;
    private int partCount;
    private int size;

    /** Creates an empty buffer whose bytes are counted there. */
    AnswerBuffer(BodyMemory.Body memory) {
        this.memory = memory;
    }

    /**
     * Adds a part and takes ownership of it. Returns false if there is no memory for it; the buffer
     * is to be released then.
     */
    boolean add(ByteBuf part) {
        size += part.readableBytes();
        if (!memory.add(part.readableBytes())) {
            part.release();
            return false;
        }
        keep(part);
        return true;
    }

    private void keep(ByteBuf part) {
        if (partCount++ == 0 || part.readableBytes() >= LARGE_PART_BYTES) {
            keepCopies();
            parts.addComponent(true, part);
            return;
        }
        if (copies.writableBytes() < part.readableBytes()) {
            keepCopies();
            copies = part.alloc().buffer(COPY_BYTES, COPY_BYTES);
        }
        copies.writeBytes(part);
        part.release();
    }

    private void keepCopies() {
        if (copies.isReadable()) {
            parts.addComponent(true, copies);
            copies = Unpooled.EMPTY_BUFFER;
        }
    }

    /** Returns the number of bytes so far. */
    int size() {
        return size;
    }

    /** Returns true if the body has far more parts than its size explains. */
    boolean isScattered() {
        return partCount > MANY_PARTS + size / MIN_MEAN_PART_BYTES;
    }

    /** Returns the whole body, which the caller owns. The buffer is not to be used any more. */
    ByteBuf take() {
        memory.release();
        keepCopies();
        return parts;
    }

    /** Releases all parts. The buffer is not to be used any more. */
    void release() {
        memory.release();
        copies.release();
        parts.release();
    }
}
