package io.damaskyoke.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class QueuedLinesTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);

    @Test
    void linesComeOutWholeAndInOrder() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        QueuedLines lines = new QueuedLines(out, 10).start();
        PrintStream print = new PrintStream(lines, true, StandardCharsets.UTF_8);
        print.print("one ");
        print.println("line");
        print.println("ανα");
        lines.close(LIMIT);
        assertEquals(
                List.of("one line", "ανα"), out.toString(StandardCharsets.UTF_8).lines().toList());
    }

    // Guards against a reader of the output that stops reading, and with it stops the router.
    @Test
    void aWriterNeverWaitsForTheReader() {
        StuckOutput out = new StuckOutput();
        QueuedLines lines = new QueuedLines(out, 3).start();
        PrintStream print = new PrintStream(lines, true, StandardCharsets.US_ASCII);
        for (int each = 0; each < 100; each++) {
            print.println("line " + each);
        }
        assertTrue(lines.leftOut() >= 96, lines.leftOut() + " left out");
        long leftOut = lines.leftOut();
        out.go.countDown();
        lines.close(LIMIT);
        List<String> written = out.bytes.toString(StandardCharsets.US_ASCII).lines().toList();
        assertEquals("line 0", written.get(0));
        assertTrue(
                written.contains("left out " + leftOut + " lines: nobody took them in time"),
                written.toString());
    }

    @Test
    void aQueueWithoutRoomIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new QueuedLines(OutputStream.nullOutputStream(), 0));
    }

    /** Takes nothing until it is let go. */
    private static final class StuckOutput extends OutputStream {
        private final CountDownLatch go = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public void write(int single) {
            bytes.write(single);
        }

        @Override
        public void write(byte[] given, int from, int length) {
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            bytes.write(given, from, length);
        }
    }
}
