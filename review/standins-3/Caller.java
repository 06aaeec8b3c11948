import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Sends a request over a connection of its own and reads the answer. */
final class Caller {
    private static final AtomicLong LAST = new AtomicLong(0x9c41d07be2a30000L);

    /** What came back: the status, 0 if none did, and whether the answer was complete. */
    record Answer(String attempt, int status, boolean complete, String failure) {
        boolean served() {
            return status == 200 && complete;
        }
    }

    private Caller() {}

    /** Asks for a stream of this many events of a model. */
    static Answer stream(RouterProcess to, String path, String key, String model, int events) {
        String headers =
                "Model: " + model + "\r\nToken-Usage: 100," + events
                        + "\r\nPrompt-Prefix: 5c1e07a2:80,91bd:20\r\n";
        return send(to, path, key, headers, 8_000);
    }

    /** Posts a request that must run once at most; an empty key sends none. */
    static Answer order(RouterProcess to, String path, String key) {
        return send(to, path, key, "", 1_500);
    }

    private static Answer send(
            RouterProcess to, String path, String key, String headers, int limitMillis) {
        String attempt = Long.toHexString(LAST.incrementAndGet());
        int status = 0;
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        boolean complete = false;
        String failure = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(to.host, to.port), 1000);
            socket.setSoTimeout(limitMillis + 1000);
            String head =
                    "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                            + "\r\nDeadline-Ms: " + limitMillis + "\r\n"
                            + (key.isEmpty() ? "" : "X-Api-Key: " + key + "\r\n")
                            + headers + "Content-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http answer = Http.head(in);
            if (answer == null) {
                failure = "closed";
            } else {
                status = answer.status();
                if (answer.header("Transfer-Encoding").equals("chunked")) {
                    byte[] chunk = Http.chunk(in);
                    while (chunk.length > 0) {
                        got.write(chunk);
                        chunk = Http.chunk(in);
                    }
                    complete = true;
                } else {
                    int length = Integer.parseInt(answer.headers.getOrDefault("Content-Length", "0"));
                    got.write(in.readNBytes(length));
                    complete = got.size() == length;
                }
            }
        } catch (IOException e) {
            failure = e.toString();
        }
        return new Answer(attempt, status, complete, failure);
    }
}
