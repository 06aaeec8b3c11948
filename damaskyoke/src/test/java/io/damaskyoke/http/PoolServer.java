package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The server's end of one connection without a network; each step is taken when a test says. */
final class PoolServer {
    /** What the server does about one request. */
    enum Manner {
        ANSWER,
        UNNAMED,
        CHUNKED,
        UNFRAMED,
        LAST,
        CUT,
        GARBAGE,
        CLOSE,
        RESET
    }

    /** When the server writes an extra answer. */
    enum Extra {
        NONE,
        AT_ONCE,
        WHILE_IDLE,
        AT_THE_NEXT_REQUEST
    }

    private static final String GARBAGE = "nonsense\r\n\r\n";

    private final Random random;
    private final EmbeddedChannel channel;
    private final DefaultChannelPromise connected;
    private final PoolSend first;
    private final List<String> carriedIds = new ArrayList<>();
    private final StringBuilder underWay = new StringBuilder();
    private String dueWhileIdle = "";
    private String dueAtTheNextRequest = "";
    private PoolSend awaiting;
    private PoolSend lastReceived;
    private boolean open;
    private boolean closes;
    private boolean resets;
    private boolean harmed;
    private int extraCount;

    PoolServer(Random random, ChannelHandler handler, PoolSend first) {
        this.random = random;
        this.first = first;
        this.channel = new EmbeddedChannel(false, false, handler);
        this.connected = new DefaultChannelPromise(channel, ImmediateEventExecutor.INSTANCE);
    }

    ChannelFuture connected() {
        return connected;
    }

    boolean isConnecting() {
        return !connected.isDone();
    }

    boolean isOpen() {
        return open && channel.isOpen();
    }

    void accept() throws Exception {
        open = true;
        channel.register();
        connected.setSuccess();
    }

    void refuse() {
        first.hit = true;
        connected.setFailure(new ConnectException());
    }

    /** Takes the request that was written, if there is a new one. */
    void receive(List<PoolSend> sends) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        if (text.isEmpty()) {
            return;
        }
        String path = text.toString().split(" ", 3)[1];
        awaiting = sends.get(Integer.parseInt(path.substring(path.lastIndexOf('/') + 1)));
        lastReceived = awaiting;
        awaiting.hit |= harmed || closes;
        if (!closes) {
            underWay.append(dueAtTheNextRequest);
        }
        dueAtTheNextRequest = "";
        carriedIds.add(awaiting.request.id);
    }

    boolean isRequestWritten() {
        return lastReceived != null;
    }

    boolean hasRequest() {
        return awaiting != null && !closes;
    }

    boolean hasExtra() {
        return awaiting == null && !closes && !dueWhileIdle.isEmpty();
    }

    void writeExtra() {
        underWay.append(dueWhileIdle);
        dueWhileIdle = "";
    }

    /** Answers the request, or fails to. */
    void answer() {
        PoolSend send = awaiting;
        awaiting = null;
        Manner manner = chosen(Manner.values(), 0.6);
        if (manner == Manner.CLOSE || manner == Manner.RESET || manner == Manner.GARBAGE) {
            run(send, random.nextBoolean());
            harm(send);
            underWay.append(manner == Manner.GARBAGE ? GARBAGE : "");
            close(manner == Manner.RESET);
            return;
        }
        boolean rejects = random.nextInt(3) == 0;
        run(send, !rejects);
        int status = rejects ? 503 : random.nextBoolean() ? 200 : 500;
        String body = "body of " + send.path();
        send.written = status + " " + body;
        String more = rejects ? PoolSend.NOT_RUN + ": 1\r\n" : "";
        boolean unnamed = manner == Manner.UNNAMED;
        send.hit |= unnamed && carriedIds.size() > 1;
        String name = unnamed ? "" : send.request.id;
        String text = text(status, name, more, body, manner);
        if (manner == Manner.CUT) {
            harm(send);
            underWay.append(text, 0, random.nextInt(text.length()));
            close(random.nextBoolean());
            return;
        }
        underWay.append(text);
        if (manner == Manner.UNFRAMED || manner == Manner.LAST) {
            close(false);
        } else {
            // The second answer of a send that names it where the first one doesn't can't be told
            // from the first.
            planExtra(unnamed ? List.of("other") : carriedIds);
        }
    }

    private void run(PoolSend send, boolean runs) {
        if (runs) {
            send.ran = true;
            send.request.runs++;
            send.check(send.request.runs == 1, "a second run");
            send.check(!send.over || !send.countsAsNotRun, "runs, and counts as not run");
        }
    }

    private void planExtra(List<String> ids) {
        switch (chosen(Extra.values(), 0.4)) {
            case AT_ONCE -> underWay.append(extraOrGarbage(ids));
            case WHILE_IDLE -> dueWhileIdle = extraOrGarbage(ids);
            case AT_THE_NEXT_REQUEST -> dueAtTheNextRequest = extraOrGarbage(ids);
            default -> {}
        }
    }

    private String extraOrGarbage(List<String> ids) {
        if (random.nextInt(8) == 0) {
            harmed = true;
            return GARBAGE;
        }
        return extra(ids);
    }

    private String extra(List<String> ids) {
        String carried = ids.get(random.nextInt(ids.size()));
        int named = random.nextInt(3);
        String name = named == 0 ? "" : named == 1 ? "other" : carried;
        boolean rejects = random.nextBoolean();
        String more = rejects ? PoolSend.NOT_RUN + ": 1\r\n" : "";
        int status = rejects ? 503 : random.nextBoolean() ? 200 : 500;
        return text(status, name, more, "extra " + ++extraCount, Manner.ANSWER);
    }

    /** Writes an answer before the request, which the client reads before it writes. */
    void greet() {
        first.hit = true;
        String text = random.nextInt(4) == 0 ? GARBAGE : extra(List.of(first.request.id));
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    boolean hasBytesUnderWay() {
        return isOpen() && (closes || !underWay.isEmpty());
    }

    /** Delivers some of the bytes that are under way, and the end after the last one. */
    void deliver() {
        int count = underWay.isEmpty() ? 0 : 1 + random.nextInt(underWay.length());
        count = random.nextBoolean() ? underWay.length() : count;
        String text = underWay.substring(0, count);
        underWay.delete(0, count);
        if (!text.isEmpty()) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }
        if (closes && underWay.isEmpty() && channel.isOpen()) {
            if (resets) {
                channel.pipeline().fireExceptionCaught(new IOException("reset"));
            }
            channel.close();
        }
    }

    /** Closes the connection, whatever it waits for. */
    void close(boolean byReset) {
        if (awaiting != null) {
            harm(awaiting);
        }
        closes = true;
        resets = byReset;
    }

    void release() {
        if (channel.isRegistered()) {
            channel.finishAndReleaseAll();
        }
    }

    private void harm(PoolSend send) {
        harmed = true;
        send.hit = true;
    }

    private <T> T chosen(T[] values, double shareOfFirst) {
        return random.nextDouble() < shareOfFirst
                ? values[0]
                : values[random.nextInt(values.length)];
    }

    private String text(int status, String name, String more, String body, Manner manner) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Any\r\n");
        if (random.nextBoolean()) {
            text.append("Keep-Alive: timeout=").append(random.nextInt(6)).append("\r\n");
        }
        if (!name.isEmpty()) {
            text.append("Try: ").append(name).append("\r\n");
        }
        text.append(manner == Manner.LAST ? "Connection: close\r\n" : "").append(more);
        return switch (manner) {
            case UNFRAMED -> text + "\r\n" + body;
            case CHUNKED ->
                    text
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(body.length())
                            + "\r\n"
                            + body
                            + "\r\n0\r\n\r\n";
            default -> text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        };
    }
}
