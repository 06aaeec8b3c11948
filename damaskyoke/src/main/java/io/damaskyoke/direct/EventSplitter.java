package io.damaskyoke.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An upstream may fail in the middle of an event. If the first part of that event had been
 * forwarded and another upstream resumed the stream, the caller would get one event made of two.
 */
final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private ByteBuf pending = Unpooled.EMPTY_BUFFER;

    /** A complete event with its bytes unchanged, and its id if it has one. */
    record StreamEvent(ByteBuf bytes, Optional<String> id) {}

    /**
     * Adds received bytes, takes over their buffer, and returns the events that are now complete.
     */
    List<StreamEvent> add(ByteBuf data) {
        ByteBuf all = data;
        if (pending.isReadable()) {
            all = Unpooled.buffer(pending.readableBytes() + data.readableBytes());
            all.writeBytes(pending).writeBytes(data);
            data.release();
        }
        pending.release();
        List<StreamEvent> events = new ArrayList<>();
        int end = endOfEvent(all);
        while (end >= 0) {
            ByteBuf event = all.readRetainedSlice(end - all.readerIndex());
            events.add(new StreamEvent(event, idOf(event)));
            end = endOfEvent(all);
        }
        pending = all.isReadable() ? all : Unpooled.EMPTY_BUFFER;
        if (pending != all) {
            all.release();
        }
        return events;
    }

    /** Returns true if an incomplete event is buffered. */
    boolean hasIncompleteEvent() {
        return pending.isReadable();
    }

    /** Discards the buffered bytes. */
    void clear() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    // An event ends with an empty line.
    private static int endOfEvent(ByteBuf bytes) {
        int lineStart = bytes.readerIndex();
        while (true) {
            int lineEnd = bytes.indexOf(lineStart, bytes.writerIndex(), LINE_FEED);
            if (lineEnd < 0) {
                return -1;
            }
            int length = lineEnd - lineStart;
            boolean empty =
                    length == 0 || length == 1 && bytes.getByte(lineStart) == CARRIAGE_RETURN;
            if (empty && lineStart > bytes.readerIndex()) {
                return lineEnd + 1;
            }
            lineStart = lineEnd + 1;
        }
    }

    private static Optional<String> idOf(ByteBuf event) {
        int lineStart = event.readerIndex();
        while (lineStart < event.writerIndex()) {
            int lineEnd = event.indexOf(lineStart, event.writerIndex(), LINE_FEED);
            int length = (lineEnd < 0 ? event.writerIndex() : lineEnd) - lineStart;
            if (length > ID_FIELD.length() && startsWithId(event, lineStart)) {
                String line = event.toString(lineStart, length, StandardCharsets.UTF_8);
                return Optional.of(line.substring(ID_FIELD.length()).strip());
            }
            if (lineEnd < 0) {
                break;
            }
            lineStart = lineEnd + 1;
        }
        return Optional.empty();
    }

    private static boolean startsWithId(ByteBuf event, int position) {
        return event.getByte(position) == 'i'
                && event.getByte(position + 1) == 'd'
                && event.getByte(position + 2) == ':';
    }
}
