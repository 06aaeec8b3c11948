import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    record Request(String method, String path, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.get(name);
        }
    }

    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    /** Serves each connection on a thread of its own. */
    static ServerSocket listen(String host, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 200);
        daemon(
                () -> {
                    while (!server.isClosed()) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemon(
                                () -> {
                                    try (socket) {
                                        handler.handle(socket);
                                    }
                                });
                    }
                });
        return server;
    }

    interface Step {
        void run() throws Exception;
    }

    static void daemon(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (Exception e) {
                                // The connection is over.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                out.append((char) c);
            }
        }
        return out.toString();
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static Request request(InputStream in) throws IOException {
        String[] start = line(in).split(" ");
        Map<String, String> headers = headers(in);
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return new Request(start[0], start[1], headers, new String(body, StandardCharsets.UTF_8));
    }

    static void answer(OutputStream out, int status, String headers, Object json)
            throws IOException {
        byte[] body =
                json == null ? new byte[0] : Json.write(json).getBytes(StandardCharsets.UTF_8);
        String head =
                "HTTP/1.1 " + status + " Status\r\n" + headers
                        + "Content-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
