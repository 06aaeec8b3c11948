import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A model worker as PROTOCOL.md describes it: it holds models, carries out one order at a time,
 * reports itself in the store and streams events. It crashes if it is ordered to load more than its
 * memory holds, and starts again empty.
 */
final class ModelWorker {
    private static final int BEAT_MILLIS = 1_200;
    private static final int DOWN_MILLIS = 1_500;

    private static final int STORE_MILLIS = 6_000;
    private static final int DISK_MILLIS = 1_000;

    private final Store store;
    private final Config config;
    private final String id;
    private final ServerSocket listening;
    private final Set<Socket> open = new HashSet<>();
    private final Set<String> copies = new LinkedHashSet<>();
    private final Map<String, Double> models = new LinkedHashMap<>();
    private final Map<String, Integer> runs = new LinkedHashMap<>();
    private long born = System.currentTimeMillis();
    private long sequence;
    private long beats;
    private boolean busy;
    private boolean down;
    private String loading = "";
    private double loadingMb;
    private int overloads;

    ModelWorker(Store store, Config config, String id, List<String> held, List<String> onDisk) throws IOException {
        this.store = store;
        this.config = config;
        this.id = id;
        this.listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        for (String model : held) {
            models.put(model, config.sizeMb(model));
            copies.add(model);
        }
        copies.addAll(onDisk);
        daemon("accept", this::accept);
        daemon("beat", this::beat);
    }

    /** Returns how many orders would have loaded more than this worker holds. */
    synchronized int overloads() {
        return overloads;
    }

    private static void daemon(String name, Runnable step) {
        Thread thread = new Thread(step, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        while (true) {
            synchronized (this) {
                if (!down) {
                    tell();
                }
            }
            Record.sleep(BEAT_MILLIS);
        }
    }

    private synchronized void tell() {
        List<Object> held = new ArrayList<>();
        models.keySet().forEach(model -> held.add(Json.of("name", model, "version", 1, "adapters", List.of())));
        Map<String, Object> entry =
                Json.of(
                        "service", "engines",
                        "address", "127.0.0.1:" + listening.getLocalPort(),
                        "zone", "zone-a",
                        "version", "v1",
                        "slots", 32,
                        "state", "ready",
                        "cold_left_ms", 0,
                        "stage", "colocated",
                        "models", held,
                        "available", Json.of("in_memory", List.of(), "on_disk", List.copyOf(copies)),
                        "born", born,
                        "sequence", ++beats);
        store.put("servers/" + id, Json.write(entry));
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    if (down) {
                        socket.setSoLinger(true, 0);
                        socket.close();
                        continue;
                    }
                    open.add(socket);
                }
                daemon("connection", () -> serve(socket));
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
                handle(request, socket.getOutputStream());
                request = Http.request(in);
            }
        } catch (IOException e) {
            // The other side has closed, or this worker has crashed.
        } finally {
            synchronized (this) {
                open.remove(socket);
            }
        }
    }

    private void handle(Http request, OutputStream out) throws IOException {
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            answer(out, 421, request, "Instance-Id: " + id + "\r\n", "");
        } else if (request.path().equals("/order")) {
            order(Json.object(request.text()), request, out);
        } else if (request.path().equals("/report")) {
            answer(out, 200, request, "Content-Type: application/json\r\n", report());
        } else if (request.path().equals("/healthz")) {
            answer(out, 200, request, "Instance-Id: " + id + "\r\n", "");
        } else {
            run(request, out);
        }
    }

    private synchronized String report() {
        List<Object> held = new ArrayList<>();
        models.keySet().forEach(model -> held.add(Json.of("name", model, "version", 1, "adapters", List.of())));
        int running = runs.values().stream().mapToInt(Integer::intValue).sum();
        return Json.write(
                Json.of(
                        "stage", "colocated",
                        "models", held,
                        "available", Json.of("in_memory", List.of(), "on_disk", List.copyOf(copies)),
                        "busy", busy,
                        "sequence", sequence,
                        "born", born,
                        "waiting", 0,
                        "running", running,
                        "kv_used", 1000 * running,
                        "kv_total", 90_000,
                        "handles", 0));
    }

    private void order(Map<String, Object> order, Http request, OutputStream out) throws IOException {
        String model = (String) order.get("model");
        boolean load = "load".equals(order.get("operation"));
        int status;
        boolean crash = false;
        synchronized (this) {
            Object precondition = order.get("precondition");
            if (busy || precondition != null && (Long) precondition != sequence) {
                status = 409;
            } else if (load == models.containsKey(model)) {
                status = 200;
            } else {
                status = 202;
                sequence++;
                busy = true;
                if (load) {
                    double used = models.values().stream().mapToDouble(each -> each).sum();
                    loadingMb = config.sizeMb(model);
                    crash = used + loadingMb > config.weightsMb();
                    Record.line(
                            "worker %s is ordered to load %s of %.0f MB; it holds %s, %.0f of %.0f MB%s",
                            id, model, loadingMb, models, used, config.weightsMb(), crash ? ": MORE THAN IT HOLDS" : "");
                } else {
                    Record.line("worker %s is ordered to unload %s", id, model);
                }
            }
        }
        answer(out, status, request, "", "");
        if (crash) {
            synchronized (this) {
                overloads++;
            }
            crash();
        } else if (status == 202) {
            long of = born;
            daemon("order", () -> carryOut(model, load, of));
        }
    }

    private void carryOut(String model, boolean load, long of) {
        if (load) {
            boolean copy;
            synchronized (this) {
                copy = copies.contains(model);
            }
            Record.sleep(copy ? DISK_MILLIS : STORE_MILLIS);
        } else {
            while (runsOf(model) > 0) {
                Record.sleep(5);
            }
        }
        synchronized (this) {
            if (born != of || down) {
                return;
            }
            if (load) {
                models.put(model, loadingMb);
                copies.add(model);
            } else {
                models.remove(model);
            }
            busy = false;
        }
        Record.line("worker %s has %s %s", id, load ? "loaded" : "unloaded", model);
        tell();
    }

    private synchronized int runsOf(String model) {
        return runs.getOrDefault(model, 0);
    }

    private void crash() {
        Record.line("worker %s crashes with %s running", id, runs);
        synchronized (this) {
            down = true;
            for (Socket each : List.copyOf(open)) {
                try {
                    each.setSoLinger(true, 0);
                    each.close();
                } catch (IOException e) {
                    // It is closed.
                }
            }
            open.clear();
            models.clear();
            runs.clear();
            busy = false;
            sequence = 0;
        }
        daemon("restart", this::restart);
    }

    private void restart() {
        Record.sleep(DOWN_MILLIS);
        synchronized (this) {
            born = System.currentTimeMillis();
            down = false;
        }
        tell();
        Record.line("worker %s is up again", id);
    }

    private void run(Http request, OutputStream out) throws IOException {
        String model = request.header("Model").split("/")[0];
        String attempt = request.header("Attempt-Id");
        synchronized (this) {
            if (!models.containsKey(model)) {
                answer(out, 421, request, "Instance-Id: " + id + "\r\n", "");
                return;
            }
            runs.merge(model, 1, Integer::sum);
        }
        long of = born;
        Record.line("worker %s runs %s for %s", id, attempt, model);
        try {
            Record.sleep(60);
            out.write(
                    ("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            int events = Integer.parseInt(request.header("Token-Usage").split(",")[1]);
            for (int event = 1; event <= events; event++) {
                String text = "id: " + event + "\ndata: " + attempt + " " + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
                Record.sleep(20);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        } finally {
            synchronized (this) {
                if (born == of) {
                    runs.computeIfPresent(model, (any, count) -> count == 1 ? null : count - 1);
                }
            }
        }
    }

    private static void answer(OutputStream out, int status, Http request, String headers, String body) throws IOException {
        String attempt = request.header("Attempt-Id");
        String head =
                "HTTP/1.1 " + status + " X\r\n"
                        + (attempt.isEmpty() ? "" : "Attempt-Id: " + attempt + "\r\n")
                        + headers
                        + "Content-Length: " + body.length() + "\r\n\r\n";
        out.write((head + body).getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
