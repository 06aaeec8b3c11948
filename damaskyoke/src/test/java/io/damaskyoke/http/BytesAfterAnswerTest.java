package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.metrics.Metrics;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes that come while a connection awaits no response and that make no message by themselves. */
class BytesAfterAnswerTest {
    private static final long MAX_ANSWER_BYTES = 1 << 20;
    private static final String OK = "HTTP/1.1 200 OK\r\nTry: 1\r\nContent-Length: 2\r\n\r\nok";
    private static final Endpoint SERVER = new Endpoint("127.0.0.1", 1);

    private final Metrics metrics = new Metrics();
    private final Queue<Runnable> afterRead = new ArrayDeque<>();
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final HttpClient client = new HttpClient(this::open, afterRead::add, () -> 0, metrics);

    // Guards against the rest of an answer that spoils the response to the next request.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "x",
                "HTTP/1.1 503 Serv",
                "HTTP/1.1 503 Full\r\n",
                "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n",
                "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nTry: "
            })
    void aConnectionThatBroughtMoreThanItsAnswerCarriesNothingMore(String more) {
        ask("1");
        receive(OK + more);
        ask("2");
        receive(OK.replace("Try: 1", "Try: 2"));
        assertEquals(List.of("200 ok", "200 ok"), outcomes);
        assertEquals(2, channels.size());
        receive(more);
        assertFalse(client.hasIdleConnection(SERVER));
        assertEquals(
                2, metrics.counter("http_unmatched_reasons{reason=\"no_request\"}").getCount());
    }

    // Guards against the beginning of a response that comes before its request.
    @Test
    void aRequestIsNotWrittenAfterBytesOfItsServer() {
        ask("1", false);
        receive("HTTP/1.1 503 Full\r\n");
        writeRequests();
        assertEquals(List.of("NOT_CONNECTED"), outcomes);
        assertFalse(channels.get(0).isOpen());
    }

    // Guards against connections that are closed for an empty line, which some servers send.
    @Test
    void anEmptyLineAfterAnAnswerEndsNothing() {
        ask("1");
        receive(OK + "\r\n");
        receive("\r\n");
        assertTrue(client.hasIdleConnection(SERVER));
    }

    private void ask(String id) {
        ask(id, true);
    }

    private void ask(String id, boolean written) {
        ClientRequest request =
                new ClientRequest(
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders(),
                        Unpooled.EMPTY_BUFFER,
                        ResponseMatch.byId(id, headers -> headers.getAll("Try")),
                        Duration.ofSeconds(1));
        client.send(SERVER, request, new BufferedResponse.Reader(MAX_ANSWER_BYTES, this::record));
        if (written) {
            writeRequests();
        }
    }

    private void record(BufferedResponse answer) {
        String body = new String(answer.body(), StandardCharsets.US_ASCII);
        outcomes.add(answer.failure().map(Enum::name).orElse(answer.status() + " " + body));
    }

    private ChannelFuture open(Endpoint to, ChannelHandler handler) {
        EmbeddedChannel channel = new EmbeddedChannel(handler);
        channels.add(channel);
        return channel.newSucceededFuture();
    }

    private void writeRequests() {
        for (Runnable step = afterRead.poll(); step != null; step = afterRead.poll()) {
            step.run();
        }
    }

    /** The last connection that was opened receives the bytes. */
    private void receive(String text) {
        channels.get(channels.size() - 1)
                .writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }
}
