package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.metrics.Metrics;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BoundedResponseTest {
    private static final long LIMIT_SECONDS = 20;
    private static final long MAX_BYTES = 64 * 1024;

    // Guards against a response without end that is kept in memory until its call times out.
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1000000000", "X-Length: none"})
    void aResponseLargerThanItsLimitFails(String framing) throws Exception {
        HttpLoop loop = HttpLoop.start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread writer = new Thread(() -> writeWithoutEnd(server, framing), "writer");
            writer.start();
            CompletableFuture<BufferedResponse> response = new CompletableFuture<>();
            HttpClient client = new HttpClient(loop, Duration.ofSeconds(1), new Metrics());
            loop.events().execute(() -> request(client, server.getLocalPort(), response));
            assertEquals(
                    Optional.of(ExchangeFailure.TOO_LARGE),
                    response.get(LIMIT_SECONDS, TimeUnit.SECONDS).failure());
            writer.join();
        } finally {
            loop.close();
        }
    }

    private static void request(
            HttpClient client, int port, CompletableFuture<BufferedResponse> response) {
        client.send(
                new Endpoint("127.0.0.1", port),
                new ClientRequest(
                        HttpMethod.GET,
                        "/report",
                        new DefaultHttpHeaders(),
                        Unpooled.EMPTY_BUFFER,
                        ResponseMatch.byConnection(),
                        Duration.ZERO),
                new BufferedResponse.Reader(MAX_BYTES, response::complete));
    }

    // Ends when the client closes the connection.
    private static void writeWithoutEnd(ServerSocket server, String framing) {
        try (Socket socket = server.accept()) {
            OutputStream out = socket.getOutputStream();
            String head = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            byte[] piece = new byte[8 * 1024];
            while (true) {
                out.write(piece);
            }
        } catch (IOException closed) {
            return;
        }
    }
}
