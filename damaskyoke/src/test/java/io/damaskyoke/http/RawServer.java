package io.damaskyoke.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that answers its n-th request, on any connection, with the n-th text unchanged. */
public final class RawServer implements AutoCloseable {
    static final String CLOSE = "<close>";
    static final String RESET = "<reset>";

    /** Stands between bytes that are to arrive one after the other. */
    static final String PAUSE = "<pause>";

    /** Stands for the value of the request's header {@code try}. */
    static final String ID = "<id>";

    /** Stands for the previous answer on the same connection, which comes once more. */
    public static final String AGAIN = "<again>";

    private final ServerSocket server;
    private final List<String> answers;
    private final AtomicInteger next = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();

    /** Starts a server that gives the last answer to all further requests. */
    public RawServer(String... answers) {
        this.answers = List.of(answers);
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread accepting = new Thread(this::accept, "raw-server");
        accepting.setDaemon(true);
        accepting.start();
    }

    /** Returns the address that it listens on. */
    public Endpoint endpoint() {
        return new Endpoint("127.0.0.1", server.getLocalPort());
    }

    int connections() {
        return connections.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                Thread serving = new Thread(() -> serve(socket), "raw-connection");
                serving.setDaemon(true);
                serving.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        String previous = "";
        try (socket) {
            for (String request = readRequest(socket.getInputStream());
                    !request.isEmpty();
                    request = readRequest(socket.getInputStream())) {
                String answer = answers.get(Math.min(next.getAndIncrement(), answers.size() - 1));
                boolean reset = answer.endsWith(RESET);
                boolean close = reset || answer.endsWith(CLOSE);
                String text =
                        answer.replace(CLOSE, "")
                                .replace(RESET, "")
                                .replace(ID, header(request, "try"))
                                .replace(AGAIN, previous);
                previous = text;
                write(text, socket);
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
                if (close) {
                    return;
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private static void write(String text, Socket socket) throws IOException {
        String[] parts = text.split(PAUSE);
        for (int part = 0; part < parts.length; part++) {
            if (part > 0) {
                pause();
            }
            socket.getOutputStream().write(parts[part].getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the head of the next request, or an empty text if there is none. */
    private static String readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            if (read < 0) {
                return "";
            }
            head.append((char) read);
        }
        String length = header(head.toString(), "content-length");
        int bytes = length.isEmpty() ? 0 : Integer.parseInt(length);
        return in.readNBytes(bytes).length == bytes ? head.toString() : "";
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith(name + ": ")) {
                return line.substring(name.length() + 2);
            }
        }
        return "";
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
