package io.damaskyoke.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An output that never makes its writer wait: {@code new QueuedLines(System.out, 2_000).start()}.
 *
 * <p>Whole lines go into a queue, which a thread of its own writes out. Whoever reads a process's
 * output may stop reading, and a full pipe would else stop the one thread that serves callers.
 * Lines that find the queue full are left out and counted; how many is said as soon as there is
 * room.
 */
public final class QueuedLines extends OutputStream {
    private static final byte NEW_LINE = '\n';

    /** Longer lines are cut; none of ours are. */
    private static final int MOST_BYTES = 16 * 1024;

    private final OutputStream to;
    private final BlockingQueue<byte[]> lines;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final AtomicLong leftOut = new AtomicLong();
    private final Thread writer = new Thread(this::writeAll, "log");
    private long told;
    private volatile boolean closed;

    /** An output for at most this many lines that wait. */
    public QueuedLines(OutputStream to, int most) {
        if (most < 1) {
            throw new IllegalArgumentException("a queue of lines needs room for one at least");
        }
        this.to = to;
        this.lines = new ArrayBlockingQueue<>(most);
        writer.setDaemon(true);
    }

    /** Begins to write; returns this. */
    public QueuedLines start() {
        writer.start();
        return this;
    }

    /** How many lines were left out so far. */
    public long leftOut() {
        return leftOut.get();
    }

    @Override
    public synchronized void write(int single) {
        if (single == NEW_LINE) {
            endLine();
        } else if (line.size() < MOST_BYTES) {
            line.write(single);
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int from, int length) {
        for (int i = from; i < from + length; i++) {
            write(bytes[i]);
        }
    }

    private void endLine() {
        line.write(NEW_LINE);
        if (!lines.offer(line.toByteArray())) {
            leftOut.incrementAndGet();
        }
        line.reset();
    }

    /** Writes out what waits, as far as that goes within the limit. */
    public void close(Duration limit) {
        closed = true;
        writer.interrupt();
        try {
            writer.join(limit.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        try {
            while (!closed) {
                writeOne(next());
            }
            for (byte[] rest = lines.poll(); rest != null; rest = lines.poll()) {
                writeOne(rest);
            }
            to.flush();
        } catch (IOException e) {
            // Nobody reads any more, and there is nowhere to say so.
            closed = true;
        }
    }

    private byte[] next() throws IOException {
        byte[] one = lines.poll();
        if (one != null) {
            return one;
        }
        to.flush();
        try {
            return lines.poll(1, TimeUnit.HOURS);
        } catch (InterruptedException e) {
            return null;
        }
    }

    private void writeOne(byte[] one) throws IOException {
        if (one != null) {
            to.write(one);
        }
        long now = leftOut.get();
        if (now > told) {
            String text = "left out " + (now - told) + " lines: nobody took them in time\n";
            told = now;
            to.write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }
}
