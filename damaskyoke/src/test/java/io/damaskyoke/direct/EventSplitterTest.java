package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private static final int ROUNDS = 500;
    private static final int LONGEST_PIECE = 12;

    private final EventSplitter splitter = new EventSplitter();

    @Test
    void completeEventsAreReturnedAtOnce() {
        assertEquals(
                List.of("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"),
                texts("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        assertEquals(0, splitter.incompleteBytes());
    }

    @Test
    void anEventReceivedInPiecesIsReturnedWhenComplete() {
        List<String> events = new ArrayList<>();
        for (char each : "id: 1\r\ndata: a\r\n\r\nid: 2\r\n".toCharArray()) {
            events.addAll(texts(String.valueOf(each)));
        }
        assertEquals(List.of("id: 1\r\ndata: a\r\n\r\n"), events);
        assertEquals("id: 2\r\n".length(), splitter.incompleteBytes());
    }

    @Test
    void theRestOfEachPieceBeginsTheNextEvent() {
        List<String> events = new ArrayList<>();
        for (String each : List.of("data: a\n", "\ndata: b\n\nda", "ta: c", "\n\ndata: d\n\n")) {
            events.addAll(texts(each));
        }
        assertEquals(List.of("data: a\n\n", "data: b\n\n", "data: c\n\n", "data: d\n\n"), events);
        assertEquals(0, splitter.incompleteBytes());
    }

    // Guards against events that depend on how the network cuts the stream into pieces.
    @Test
    void anyPiecesGiveTheSameEvents() {
        String stream = "id: 1\r\ndata: a\r\n\r\n\n\ndata: b\n\r\n: c\n\n\r\ndata: d\n\nid: 5\nda";
        List<String> whole = texts(stream);
        splitter.clear();
        Random random = new Random(5);
        for (int round = 0; round < ROUNDS; round++) {
            List<String> events = new ArrayList<>();
            int from = 0;
            while (from < stream.length()) {
                int to = Math.min(stream.length(), from + 1 + random.nextInt(LONGEST_PIECE));
                events.addAll(texts(stream.substring(from, to)));
                from = to;
            }
            assertEquals(whole, events);
            assertEquals("id: 5\nda".length(), splitter.incompleteBytes());
            splitter.clear();
        }
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
