import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A sound worker of a plain service: it reports itself, runs every request and answers it. */
final class PlainWorker {
    private static final int BEAT_MILLIS = 1_200;

    private final Store store;
    private final String service;
    private final String id;
    private final ServerSocket listening;
    private final long born = System.currentTimeMillis();

    /** The tenant of each request that ran, by the request's id. */
    final Map<String, String> ran = new ConcurrentHashMap<>();

    PlainWorker(Store store, String service, String id) throws IOException {
        this.store = store;
        this.service = service;
        this.id = id;
        this.listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        daemon(this::beat);
    }

    private static void daemon(Runnable step) {
        Thread thread = new Thread(step);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        for (long number = 1; ; number++) {
            Map<String, Object> entry =
                    Json.of(
                            "service", service,
                            "address", "127.0.0.1:" + listening.getLocalPort(),
                            "zone", "zone-a",
                            "version", "v1",
                            "slots", 6,
                            "state", "ready",
                            "cold_left_ms", 0,
                            "born", born,
                            "sequence", number);
            store.put("servers/" + id, Json.write(entry));
            Record.sleep(BEAT_MILLIS);
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http request = Http.request(in);
            while (request != null) {
                answer(request, socket.getOutputStream());
                request = Http.request(in);
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    private void answer(Http request, OutputStream out) throws IOException {
        String attempt = request.header("Attempt-Id");
        if (!request.header("Expect-Instance").equals(id)) {
            out.write(("HTTP/1.1 421 X\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return;
        }
        String tenant = request.header("Tenant");
        ran.put(attempt, tenant);
        Record.line("worker %s runs %s (%s), Tenant: %s", id, attempt, request.first, tenant.isEmpty() ? "none" : tenant);
        String body = "done " + attempt;
        String head =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: s." + body.length()
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        out.write((head + body).getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
