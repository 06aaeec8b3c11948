package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A server that answers a long upload before it has read it. */
class AnswerBeforeUploadTest {
    /** More than the sockets of both sides hold. */
    private static final int UPLOAD_BYTES = 24 << 20;

    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final long PAUSE_MILLIS = 100;

    private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nTry: 1\r\n\r\n";

    private final AskingClient client = new AskingClient();
    private ServerSocket server;

    /** What the server does with the connection once it has read the head of the request. */
    @FunctionalInterface
    private interface Handler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        client.close();
    }

    // Guards against part of an answer that is taken for all of it, as the connection was reset
    // while the request was still being written.
    @Test
    void anAnswerWithoutALengthWhoseConnectionIsResetIsCutShort() {
        String outcome =
                outcomeIf(
                        socket -> {
                            write(socket, HEAD_WITHOUT_LENGTH + "part");
                            Thread.sleep(PAUSE_MILLIS);
                            socket.setSoLinger(true, 0);
                            socket.close();
                        });
        assertEquals("CUT_SHORT", outcome);
    }

    // Guards against the same where the server's end comes before its reset.
    @Test
    void anAnswerWithoutALengthThatEndsBeforeTheUploadIsCutShort() {
        String outcome =
                outcomeIf(
                        socket -> {
                            write(socket, HEAD_WITHOUT_LENGTH + "part");
                            Thread.sleep(PAUSE_MILLIS);
                            socket.shutdownOutput();
                            Thread.sleep(PAUSE_MILLIS);
                        });
        assertEquals("CUT_SHORT", outcome);
    }

    @Test
    void anAnswerWithItsLengthIsWholeBeforeTheUploadIs() {
        String head = "HTTP/1.1 200 OK\r\nTry: 1\r\nContent-Length: 4\r\n\r\n";
        assertEquals("200 done", outcomeIf(socket -> write(socket, head + "done")));
    }

    @Test
    void anAnswerWithoutALengthThatEndsAfterTheUploadIsWhole() {
        String outcome =
                outcomeIf(
                        socket -> {
                            socket.getInputStream().skipNBytes(UPLOAD_BYTES);
                            write(socket, HEAD_WITHOUT_LENGTH + "done");
                            socket.close();
                        });
        assertEquals("200 done", outcome);
    }

    private String outcomeIf(Handler handler) {
        Thread serving = new Thread(() -> serve(handler), "early-server");
        serving.setDaemon(true);
        serving.start();
        Endpoint to = new Endpoint("127.0.0.1", server.getLocalPort());
        return client.ask(to, HttpMethod.POST, UPLOAD_BYTES);
    }

    private void serve(Handler handler) {
        try {
            Socket socket = server.accept();
            skipHead(socket.getInputStream());
            handler.handle(socket);
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static void skipHead(InputStream in) throws IOException {
        int ends = 0;
        while (ends < 2) {
            int next = in.read();
            if (next == '\n') {
                ends++;
            } else if (next != '\r') {
                ends = 0;
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
