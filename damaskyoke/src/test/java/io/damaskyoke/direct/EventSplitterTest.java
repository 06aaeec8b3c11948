package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter();

    @Test
    void completeEventsAreReturnedAtOnce() {
        assertEquals(
                List.of("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"),
                texts("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        assertFalse(splitter.hasIncompleteEvent());
    }

    @Test
    void anEventReceivedInPiecesIsReturnedWhenComplete() {
        List<String> events = new ArrayList<>();
        for (char each : "id: 1\r\ndata: a\r\n\r\nid: 2\r\n".toCharArray()) {
            events.addAll(texts(String.valueOf(each)));
        }
        assertEquals(List.of("id: 1\r\ndata: a\r\n\r\n"), events);
        assertTrue(splitter.hasIncompleteEvent());
    }

    @Test
    void theIdIsReadFromTheIdFieldOnly() {
        var events = splitter.add(Unpooled.copiedBuffer("data: id: 7\nid:12 \n\n", ascii()));
        assertEquals(Optional.of("12"), events.get(0).id());
    }

    @Test
    void anEventMayHaveNoId() {
        var events = splitter.add(Unpooled.copiedBuffer("data: a\n\n", ascii()));
        assertEquals(Optional.empty(), events.get(0).id());
    }

    private List<String> texts(String part) {
        return splitter.add(Unpooled.copiedBuffer(part, ascii())).stream()
                .map(event -> event.bytes().toString(ascii()))
                .toList();
    }

    private static java.nio.charset.Charset ascii() {
        return StandardCharsets.US_ASCII;
    }
}
