package io.damaskyoke.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that answers each request again when the next request of the connection has come, before
 * the answer to that one.
 */
final class TwiceAnswering implements AutoCloseable {
    private final ServerSocket server;
    private final AtomicInteger next = new AtomicInteger();
    private volatile List<String> answers = List.of();
    private volatile boolean atOnce;

    TwiceAnswering() {
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        inBackground(this::accept);
    }

    /** The bodies of the answers to the first request, the second and so on. */
    void answers(String... bodies) {
        answers = List.of(bodies);
    }

    /** From now on each request is answered twice at once. */
    void answerTwiceAtOnce() {
        atOnce = true;
    }

    URI address() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            inBackground(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            String before = "";
            while (readRequest(socket.getInputStream())) {
                String answer = answer(answers.get(next.getAndIncrement()));
                write(socket, before + answer);
                if (atOnce) {
                    write(socket, answer);
                } else {
                    before = answer;
                }
            }
        }
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Returns false if the client has closed the connection. */
    private static boolean readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            if (read < 0) {
                return false;
            }
            head.append((char) read);
        }
        int length = length(head.toString().toLowerCase(Locale.ROOT));
        return in.readNBytes(length).length == length;
    }

    private static int length(String head) {
        return head.lines()
                .filter(line -> line.startsWith("content-length: "))
                .map(line -> Integer.parseInt(line.substring("content-length: ".length())))
                .findFirst()
                .orElse(0);
    }

    private static void inBackground(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // The test or the client has closed the connection.
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }
}
