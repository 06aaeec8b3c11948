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
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    /** The bytes of an incomplete event, in a buffer that only this object writes to. */
    private ByteBuf incomplete = Unpooled.EMPTY_BUFFER;

    /** Index of the first byte of the line that is being searched. */
    private int lineStart;

    /** Index up to which the bytes have been searched for the end of a line. */
    private int searchedTo;

    private boolean holdsStatusLine;

    /** A complete event with its bytes unchanged, and its id if it has one. */
    record StreamEvent(ByteBuf bytes, Optional<String> id) {}

    /**
     * Adds received bytes, takes over their buffer, and returns the events that are now complete.
     */
    List<StreamEvent> add(ByteBuf data) {
        if (!incomplete.isReadable()) {
            lineStart = data.readerIndex();
            searchedTo = lineStart;
            return split(data, false);
        }
        ByteBuf all = incomplete.writeBytes(data);
        data.release();
        return split(all, true);
    }

    /**
     * Returns true if a line begins like the status line of an answer, which no line of an event
     * does. That event and what follows is returned by no call.
     */
    boolean holdsStatusLine() {
        return holdsStatusLine;
    }

    /** Returns the size of the incomplete event that is buffered, in bytes; zero if none is. */
    int incompleteBytes() {
        return incomplete.readableBytes();
    }

    /** Discards the buffered bytes. */
    void clear() {
        incomplete.release();
        incomplete = Unpooled.EMPTY_BUFFER;
    }

    // An incomplete event is searched once and copied seldom, as its buffer doubles. If each piece
    // caused a search and a copy of all that came before, a large event in small pieces would block
    // the thread for seconds.
    private List<StreamEvent> split(ByteBuf all, boolean own) {
        List<StreamEvent> events = new ArrayList<>();
        int end = endOfEvent(all);
        while (end >= 0) {
            ByteBuf event = all.readRetainedSlice(end - all.readerIndex());
            events.add(new StreamEvent(event, idOf(event)));
            end = endOfEvent(all);
        }
        if (own && events.isEmpty()) {
            return events;
        }
        incomplete = copyOfRest(all);
        all.release();
        return events;
    }

    private ByteBuf copyOfRest(ByteBuf all) {
        if (!all.isReadable()) {
            return Unpooled.EMPTY_BUFFER;
        }
        lineStart -= all.readerIndex();
        searchedTo -= all.readerIndex();
        return Unpooled.buffer(all.readableBytes()).writeBytes(all);
    }

    // An event ends with an empty line.
    private int endOfEvent(ByteBuf bytes) {
        int lineEnd = bytes.indexOf(searchedTo, bytes.writerIndex(), LINE_FEED);
        while (lineEnd >= 0) {
            int length = lineEnd - lineStart;
            boolean empty =
                    length == 0 || length == 1 && bytes.getByte(lineStart) == CARRIAGE_RETURN;
            boolean first = lineStart == bytes.readerIndex();
            if (beginsStatusLine(bytes, length)) {
                holdsStatusLine = true;
            }
            if (holdsStatusLine) {
                return -1;
            }
            lineStart = lineEnd + 1;
            searchedTo = lineStart;
            if (empty && !first) {
                return lineStart;
            }
            lineEnd = bytes.indexOf(searchedTo, bytes.writerIndex(), LINE_FEED);
        }
        searchedTo = bytes.writerIndex();
        return -1;
    }

    private boolean beginsStatusLine(ByteBuf bytes, int length) {
        if (length < STATUS_LINE_START.length) {
            return false;
        }
        for (int each = 0; each < STATUS_LINE_START.length; each++) {
            if (bytes.getByte(lineStart + each) != STATUS_LINE_START[each]) {
                return false;
            }
        }
        return true;
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
