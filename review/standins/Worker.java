import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker of the platform on loopback: it runs requests, answers 421 for a model that it does not
 * hold, carries out orders, reports itself, and writes its entry into the store every 1.2 s. It can
 * crash, which closes all its connections, and start again under its id, empty, as PROTOCOL.md says.
 */
final class Worker {
    private static final long BEAT_MILLIS = 1_200;
    private static final int SLOTS = 32;

    private final String id;
    private final String service;
    private final String zone;
    private final Store store;
    private final Record record;
    private final int port;
    private final boolean engine;
    private final long workMillis;
    private final long loadMillis;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<String> disk = new TreeSet<>();
    private final Map<String, Long> models = new TreeMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger misdirected = new AtomicInteger();
    private ServerSocket listener;
    private long born;
    private long sequence;
    private long beats;
    private long highestFence;
    private volatile int life;
    private volatile boolean up;

    Worker(String id, String service, String zone, Store store, Record record, boolean engine,
            long workMillis, long loadMillis) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        this.engine = engine;
        this.workMillis = workMillis;
        this.loadMillis = loadMillis;
        this.port = Ports.free("127.0.0.1");
    }

    String id() {
        return id;
    }

    /** Returns how many requests it has begun to run. */
    int runs() {
        return runs.get();
    }

    /** Returns how many requests it has answered with 421. */
    int misdirected() {
        return misdirected.get();
    }

    synchronized Set<String> held() {
        return new TreeSet<>(models.keySet());
    }

    /** Starts, holding these models, and with copies of all of those on its disk. */
    synchronized void start(Set<String> held, Set<String> onDisk) {
        born = System.currentTimeMillis();
        sequence = 0;
        highestFence = 0;
        models.clear();
        held.forEach(model -> models.put(model, 0L));
        disk.addAll(onDisk);
        up = true;
        life++;
        try {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        ServerSocket mine = listener;
        int current = life;
        daemon(() -> accept(mine));
        daemon(() -> beat(current));
        record.line("worker " + id + " starts, holding " + models.keySet());
    }

    /** Crashes: its connections are reset or closed, its port is closed, and it writes nothing more. */
    synchronized void crash() {
        up = false;
        record.line("worker " + id + " crashes, running " + running.get());
        try {
            listener.close();
            for (Socket each : open) {
                each.setSoLinger(true, 0);
                each.close();
            }
        } catch (IOException e) {
            record.line("worker " + id + ": " + e);
        }
        open.clear();
    }

    private void beat(int mine) {
        while (up && life == mine) {
            writeEntry();
            pause(BEAT_MILLIS);
        }
    }

    private synchronized void writeEntry() {
        if (!up) {
            return;
        }
        store.put("servers/" + id, "{\"service\":" + Json.quote(service)
                + ",\"address\":\"127.0.0.1:" + port + "\",\"zone\":" + Json.quote(zone)
                + ",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"ready\",\"cold_left_ms\":0,"
                + "\"born\":" + born + ",\"sequence\":" + ++beats + "," + held(false) + "}");
    }

    private String held(boolean reported) {
        StringBuilder names = new StringBuilder();
        long now = System.nanoTime();
        for (Map.Entry<String, Long> each : models.entrySet()) {
            if (each.getValue() <= now) {
                names.append(names.length() == 0 ? "" : ",")
                        .append("{\"name\":" + Json.quote(each.getKey()) + ",\"version\":1,\"adapters\":[]}");
            }
        }
        StringBuilder copies = new StringBuilder();
        disk.forEach(each -> copies.append(copies.length() == 0 ? "" : ",").append(Json.quote(each)));
        return "\"stage\":\"colocated\",\"models\":[" + names + "],\"available\":{\"in_memory\":[],\"on_disk\":["
                + copies + "]}" + (reported ? ",\"busy\":" + busy(now) : "");
    }

    private boolean busy(long now) {
        return models.values().stream().anyMatch(at -> at > now);
    }

    private void accept(ServerSocket mine) {
        while (!mine.isClosed()) {
            try {
                Socket socket = mine.accept();
                open.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Message request = Message.read(in);
            while (request != null && up) {
                answer(request, out);
                request = Message.read(in);
            }
        } catch (IOException e) {
            // The other side has closed the connection, or this worker has crashed.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Message request, OutputStream out) throws IOException {
        String expected = request.header("expect-instance");
        if (expected != null && !expected.equals(id)) {
            send(out, 421, request, "Instance-Id: " + id + "\r\n", "");
        } else if (request.path().equals("/report")) {
            send(out, 200, request, "", report());
        } else if (request.path().equals("/order")) {
            send(out, order(request.body()), request, "", "");
        } else if (request.path().equals("/healthz")) {
            send(out, 200, request, "Instance-Id: " + id + "\r\n", "");
        } else {
            run(request, out);
        }
    }

    private synchronized String report() {
        return "{" + held(true) + ",\"born\":" + born + ",\"sequence\":" + sequence
                + ",\"waiting\":0,\"running\":" + running.get() + ",\"kv_used\":0,\"kv_total\":90000,\"handles\":0}";
    }

    private synchronized int order(String body) {
        Map<String, Object> order = Json.object(body);
        long fence = Json.whole(order, "fencing_token");
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        String model = (String) order.get("model");
        boolean load = "load".equals(order.get("operation"));
        if (load == models.containsKey(model)) {
            return 200;
        }
        long now = System.nanoTime();
        if (busy(now) || Json.whole(order, "precondition") != sequence) {
            return 409;
        }
        sequence++;
        if (load) {
            models.put(model, now + loadMillis * 1_000_000);
        } else {
            models.remove(model);
        }
        record.line("worker " + id + " accepts: " + body);
        return 202;
    }

    private boolean holds(String model) {
        synchronized (this) {
            return !engine || models.getOrDefault(model, Long.MAX_VALUE) <= System.nanoTime();
        }
    }

    private void run(Message request, OutputStream out) throws IOException {
        String attempt = request.header("attempt-id");
        if (!holds(request.header("model"))) {
            misdirected.incrementAndGet();
            record.line("worker " + id + " answers 421 to " + attempt + " for " + request.header("model"));
            send(out, 421, request, "Instance-Id: " + id + "\r\n", "");
            return;
        }
        runs.incrementAndGet();
        record.line("worker " + id + " runs " + attempt);
        running.incrementAndGet();
        try {
            if (engine) {
                stream(request, out);
            } else {
                pause(workMillis);
                send(out, 200, request, "Server-Seal: seal." + id + "\r\n", "done by " + id);
            }
        } finally {
            running.decrementAndGet();
        }
    }

    private void stream(Message request, OutputStream out) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "Attempt-Id: " + request.header("attempt-id") + "\r\nServer-Seal: seal." + id + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        int events = 4;
        for (int event = 1; event <= events; event++) {
            pause(workMillis / events);
            String text = "id: " + event + "\ndata: x\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private void send(OutputStream out, int status, Message request, String headers, String body)
            throws IOException {
        String attempt = request.header("attempt-id");
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\nContent-Length: " + bytes.length + "\r\n"
                + (attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n")
                + "Instance-Load: " + running.get() + ",0," + SLOTS + "\r\n" + headers + "\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        all.writeBytes(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(Runnable step) {
        Thread thread = new Thread(step);
        thread.setDaemon(true);
        thread.start();
    }

    /** A request, read whole. */
    record Message(String method, String path, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.get(name);
        }

        static Message read(InputStream in) throws IOException {
            String first = line(in);
            if (first == null || first.isEmpty()) {
                return null;
            }
            String[] words = first.split(" ");
            Map<String, String> headers = new TreeMap<>();
            for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
                int colon = each.indexOf(':');
                headers.put(each.substring(0, colon).trim().toLowerCase(Locale.ROOT), each.substring(colon + 1).trim());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            return new Message(words[0], words[1], headers, body);
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream found = new ByteArrayOutputStream();
            int next = in.read();
            while (next >= 0 && next != '\n') {
                if (next != '\r') {
                    found.write(next);
                }
                next = in.read();
            }
            return next < 0 && found.size() == 0 ? null : found.toString(StandardCharsets.ISO_8859_1);
        }
    }
}
