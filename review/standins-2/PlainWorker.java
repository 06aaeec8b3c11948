import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker of a service without models: it answers each request after 20 ms. */
final class PlainWorker {
    final AtomicInteger runs = new AtomicInteger();

    PlainWorker(Store store, String host, String id, int slots) throws IOException {
        ServerSocket server =
                Http.listen(
                        host,
                        0,
                        socket -> {
                            while (true) {
                                Http.Request request = Http.request(socket.getInputStream());
                                handle(request, id, socket.getOutputStream());
                            }
                        });
        String entry =
                "{\"service\":\"app\",\"address\":\"" + host + ":" + server.getLocalPort()
                        + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"born\":"
                        + System.currentTimeMillis() + ",\"sequence\":";
        Http.daemon(
                () -> {
                    for (int i = 1; true; i++) {
                        store.put("servers/" + id, entry + i + "}", 0);
                        Thread.sleep(1_200);
                    }
                });
    }

    private void handle(Http.Request request, String id, OutputStream out) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(out, 421, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", null);
        } else if (request.path().equals("/healthz")) {
            Http.answer(out, 200, "Instance-Id: " + id + "\r\nInstance-Load: 0,0,32\r\n", null);
        } else {
            runs.incrementAndGet();
            Thread.sleep(20);
            String attempt = request.header("Attempt-Id");
            String seal = "Server-Seal: seal-" + attempt + "\r\n";
            Http.answer(out, 200, "Attempt-Id: " + attempt + "\r\n" + seal, "done");
        }
    }
}
