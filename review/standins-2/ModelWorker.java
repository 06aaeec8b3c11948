import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A model worker as PROTOCOL.md describes it. */
final class ModelWorker {
    static final double MODEL_MB = 34_300;
    static final double ADAPTER_MB = 40;
    static final double WEIGHTS_MB = 83_000;
    static final int ADAPTER_SLOTS = 8;
    private static final long STORE_LOAD_MS = 6_000;
    private static final long DISK_LOAD_MS = 1_000;
    private static final int EVENTS = 20;

    private final Store store;
    private final Record record;
    private final String host;
    private final String id;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<String> onDisk = new TreeSet<>();
    private final Map<String, Set<String>> held = new TreeMap<>();
    private final Map<String, Integer> running = new TreeMap<>();
    private ServerSocket server;
    private String busyWith;
    private long sequence;
    private long born;
    private long life;
    private long written;

    /** The model of which the next load order gets no answer and is carried out late. */
    private String lateModel = "";

    private Map<String, Object> lateOrder;
    private long lateSince;
    private String broken = "";
    private int cutOff;

    ModelWorker(Store store, Record record, String host, String id, List<String> models)
            throws IOException {
        this.store = store;
        this.record = record;
        this.host = host;
        this.id = id;
        this.port = Router.freePort();
        onDisk.addAll(models);
        start(models);
        Http.daemon(
                () -> {
                    while (true) {
                        report();
                        Thread.sleep(1_200);
                    }
                });
    }

    private synchronized void start(List<String> models) throws IOException {
        models.forEach(model -> held.put(model, new TreeSet<>()));
        born = System.currentTimeMillis();
        server = Http.listen(host, port, this::serve);
    }

    /** Ends as by a crash: all is forgotten but the disk, nothing is said to anyone. */
    private synchronized void end() throws IOException {
        server.close();
        server = null;
        life++;
        running.values().forEach(count -> cutOff += count);
        for (Socket each : open) {
            each.setSoLinger(true, 0);
            each.close();
        }
        held.clear();
        running.clear();
        busyWith = null;
        sequence = 0;
    }

    /** Crashes, and starts again, empty, under the id that it had. */
    void crash(long downMillis) throws Exception {
        end();
        record.line("worker " + id + " crashes");
        Thread.sleep(downMillis);
        start(List.of());
        record.line("worker " + id + " has started again under its id, empty, sequence 0");
    }

    private synchronized Map<String, Object> description() {
        List<Object> models = new ArrayList<>();
        held.forEach(
                (name, adapters) ->
                        models.add(
                                new LinkedHashMap<>(
                                        Map.of(
                                                "name", name, "version", 1,
                                                "adapters", List.copyOf(adapters)))));
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("stage", "colocated");
        all.put("models", models);
        all.put("available", Map.of("in_memory", List.of(), "on_disk", List.copyOf(onDisk)));
        all.put("born", born);
        return all;
    }

    private synchronized void report() {
        if (server == null) {
            return;
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", "models");
        entry.put("address", host + ":" + port);
        entry.put("zone", "z-a");
        entry.put("version", "v1");
        entry.put("slots", 128);
        entry.put("state", "ready");
        entry.put("cold_left_ms", 0);
        entry.putAll(description());
        entry.put("sequence", ++written);
        store.put("servers/" + id, Json.write(entry), 0);
    }

    synchronized Set<String> held() {
        return Set.copyOf(held.keySet());
    }

    synchronized boolean idle() {
        return busyWith == null;
    }

    synchronized void makeLate(String model) {
        lateModel = model;
    }

    synchronized boolean hasLateOrder() {
        return lateOrder != null;
    }

    synchronized String broken() {
        return broken;
    }

    synchronized int cutOff() {
        return cutOff;
    }

    private double weights() {
        int adapters = held.values().stream().mapToInt(Set::size).sum();
        double loading = busyWith != null && !held.containsKey(busyWith) ? MODEL_MB : 0;
        return held.size() * MODEL_MB + adapters * ADAPTER_MB + loading;
    }

    private void serve(Socket socket) throws Exception {
        open.add(socket);
        try {
            while (true) {
                Http.Request request = Http.request(socket.getInputStream());
                handle(request, socket);
            }
        } finally {
            open.remove(socket);
        }
    }

    private void handle(Http.Request request, Socket socket) throws Exception {
        OutputStream out = socket.getOutputStream();
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(out, 421, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", null);
        } else if (request.path().equals("/healthz")) {
            Http.answer(out, 200, "Instance-Id: " + id + "\r\nInstance-Load: 0,0,128\r\n", null);
        } else if (request.path().startsWith("/report")) {
            Map<String, Object> state = description();
            synchronized (this) {
                state.put("busy", busyWith != null);
                state.put("sequence", sequence);
                state.put("waiting", 0);
                state.put("running", running.values().stream().mapToInt(each -> each).sum());
                state.put("kv_used", 0);
                state.put("kv_total", 139_274);
                state.put("handles", 0);
            }
            Http.answer(out, 200, "", state);
        } else if (request.path().equals("/order")) {
            order(request, socket);
        } else if (request.path().startsWith("/kv")) {
            Http.answer(out, 404, "", null);
        } else {
            run(request, out);
        }
    }

    private void order(Http.Request request, Socket socket) throws Exception {
        Map<String, Object> order = Json.object(request.body());
        int status;
        synchronized (this) {
            boolean model = order.get("operation").equals("load") && !order.containsKey("adapter");
            if (model && order.get("model").equals(lateModel)) {
                lateModel = "";
                lateOrder = order;
                lateSince = System.nanoTime();
                record.line("order " + order + " -> no answer, to be carried out late");
                status = 0;
            } else {
                status = carryOut(order);
                record.line("order " + order + " -> " + status + ", holds " + held.keySet());
            }
        }
        if (status == 0) {
            Thread.sleep(15_000);
            return;
        }
        Http.answer(socket.getOutputStream(), status, "", Map.of());
        carryOutLate();
    }

    /** Carries out the late order once its precondition holds, 2 to 12 s after it was sent. */
    synchronized void carryOutLate() {
        long late = (System.nanoTime() - lateSince) / 1_000_000;
        if (lateOrder == null || late < 2_000 || server == null) {
            return;
        }
        if (late > 12_000) {
            record.line("the late order's precondition did not hold in time: dropped");
            lateOrder = null;
            return;
        }
        boolean adds = !held.containsKey(lateOrder.get("model"));
        boolean full = weights() + MODEL_MB > WEIGHTS_MB;
        if (!lateOrder.get("precondition").equals(sequence) || busyWith != null || !adds || !full) {
            return;
        }
        Map<String, Object> order = lateOrder;
        lateOrder = null;
        record.line(
                "late order " + order + ", " + late + " ms after it was sent: its precondition"
                        + " holds, the worker holds " + held);
        carryOut(order);
    }

    @SuppressWarnings("unchecked")
    private int carryOut(Map<String, Object> order) {
        String model = (String) order.get("model");
        String adapter = (String) order.get("adapter");
        boolean load = order.get("operation").equals("load");
        if (server == null) {
            return 503;
        }
        Object expected = order.get("precondition");
        if (expected != null && !expected.equals(sequence)) {
            return 409;
        }
        if (adapter != null) {
            if (!held.containsKey(model)) {
                return 409;
            }
            int adapters = held.values().stream().mapToInt(Set::size).sum();
            if (load && !held.get(model).contains(adapter)) {
                if (adapters == ADAPTER_SLOTS || weights() + ADAPTER_MB > WEIGHTS_MB) {
                    overLimit(order);
                    return 202;
                }
                held.get(model).add(adapter);
                sequence++;
                return 202;
            }
            if (!load && held.get(model).remove(adapter)) {
                sequence++;
                return 202;
            }
            return 200;
        }
        if (busyWith != null) {
            return 409;
        }
        if (load == held.containsKey(model)) {
            return 200;
        }
        if (load && weights() + MODEL_MB > WEIGHTS_MB) {
            overLimit(order);
            return 202;
        }
        sequence++;
        busyWith = model;
        long now = life;
        long takes = load ? onDisk.contains(model) ? DISK_LOAD_MS : STORE_LOAD_MS : 50;
        Http.daemon(
                () -> {
                    Thread.sleep(takes);
                    while (!load && runs(model, now)) {
                        Thread.sleep(20);
                    }
                    finish(model, load, now);
                });
        return 202;
    }

    private synchronized boolean runs(String model, long of) {
        return life == of && running.getOrDefault(model, 0) > 0;
    }

    private synchronized void finish(String model, boolean load, long of) {
        if (life != of) {
            return;
        }
        busyWith = null;
        if (load) {
            held.put(model, new TreeSet<>());
            onDisk.add(model);
        } else {
            held.remove(model);
        }
    }

    private void overLimit(Map<String, Object> order) {
        broken =
                "LIMIT: order " + order + " makes " + (weights() + MODEL_MB) + " MB with weights_mb "
                        + WEIGHTS_MB + ", the worker holds " + held;
        record.line(broken);
        int before = cutOff;
        try {
            end();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        record.line("the worker crashes; streams cut off: " + (cutOff - before));
    }

    private void run(Http.Request request, OutputStream out) throws Exception {
        String attempt = request.header("Attempt-Id");
        String[] model = request.headers().getOrDefault("Model", "").split("/");
        String refused = "Not-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n";
        long now;
        synchronized (this) {
            boolean there =
                    held.containsKey(model[0])
                            && (model.length == 1 || held.get(model[0]).contains(model[1]));
            if (!there) {
                Http.answer(out, 421, "Instance-Id: " + id + "\r\n" + refused, null);
                return;
            }
            if (model[0].equals(busyWith)) {
                Http.answer(out, 503, refused, null);
                return;
            }
            running.merge(model[0], 1, Integer::sum);
            now = life;
        }
        try {
            int from = Integer.parseInt(request.headers().getOrDefault("Last-Event-Id", "0"));
            String head =
                    "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: seal-" + attempt
                            + "\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n";
            out.write(head.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            for (int i = from + 1; i <= EVENTS; i++) {
                Http.chunk(out, "id: " + i + "\ndata: " + attempt + "-" + i + "\n\n");
                Thread.sleep(30);
            }
            out.write("0\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            out.flush();
        } finally {
            synchronized (this) {
                if (life == now) {
                    running.merge(model[0], -1, Integer::sum);
                }
            }
        }
    }
}
