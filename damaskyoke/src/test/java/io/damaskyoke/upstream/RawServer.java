package io.damaskyoke.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server for the wire's bad days: each connection is handled by hand. */
final class RawServer implements AutoCloseable {
    /** What to do once the head of a request has come. */
    @FunctionalInterface
    interface Handler {
        void handle(Socket socket) throws IOException;
    }

    final List<String> heads = new CopyOnWriteArrayList<>();
    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Handler handler;

    RawServer(Handler handler) {
        this.handler = handler;
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::acceptAll);
    }

    static Handler answering(String bytes) {
        return socket -> {
            write(socket, bytes);
            socket.close();
        };
    }

    static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Closes so that the other side sees a reset instead of an end. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Reads until the other side has closed or reset the connection, then closes this side. */
    static void awaitGone(Socket socket) throws IOException {
        try (socket) {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        }
    }

    URI url() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket socket = server.accept();
            sockets.add(socket);
            start(
                    () -> {
                        heads.add(readHead(socket));
                        handler.handle(socket);
                    });
        }
    }

    private static String readHead(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static void start(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // The test has closed the socket, or the client has.
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
