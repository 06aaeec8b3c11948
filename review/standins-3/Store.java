import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's store as PROTOCOL.md describes it: items, one revision, watches, transactions and
 * leases that end. It is sound: it answers every call at once and loses nothing.
 */
final class Store {
    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Event(String key, byte[] value, long revision, long created, long lease) {}

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseMillis = new HashMap<>();
    private long revision = 100;
    private long lastLease = 77_000;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", this::handle);
        server.start();
        Thread ends = new Thread(this::endLeases, "leases");
        ends.setDaemon(true);
        ends.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized long put(String key, String value) {
        revision++;
        set(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            revision++;
            set(key, null, 0);
            notifyAll();
        }
    }

    /** Returns an item's value as text; empty if there is none. */
    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void set(String key, byte[] value, long lease) {
        Item before = items.get(key);
        long created = before == null ? revision : before.created();
        history.add(new Event(key, value, revision, created, lease));
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, new Item(value, revision, created, lease));
        }
    }

    private void endLeases() {
        while (true) {
            Record.sleep(10);
            synchronized (this) {
                long now = System.nanoTime();
                for (long lease : List.copyOf(leaseEnds.keySet())) {
                    if (now - leaseEnds.get(lease) >= 0) {
                        end(lease);
                    }
                }
            }
        }
    }

    private void end(long lease) {
        leaseEnds.remove(lease);
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).lease() == lease) {
                revision++;
                set(key, null, 0);
            }
        }
        notifyAll();
    }

    private void handle(HttpExchange call) throws IOException {
        byte[] body = call.getRequestBody().readAllBytes();
        String path = call.getRequestURI().getPath();
        Map<String, String> query = new HashMap<>();
        String raw = call.getRequestURI().getRawQuery();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        if (path.equals("/kv-watch")) {
            watch(call, query);
        } else if (path.equals("/kv-range")) {
            answer(call, 200, range(query.get("path_prefix"), query.getOrDefault("after", "")));
        } else if (path.equals("/kv-key")) {
            key(call, query.get("key"));
        } else if (path.equals("/kv-txn")) {
            transact(call, Json.object(new String(body, StandardCharsets.UTF_8)));
        } else {
            lease(call, path, body);
        }
    }

    private static Map<String, Object> line(String key, Item item) {
        return Json.of(
                "key", key,
                "value", Base64.getEncoder().encodeToString(item.value()),
                "revision", item.revision(),
                "created", item.created(),
                "lease", item.lease());
    }

    private synchronized Map<String, Object> range(String prefix, String after) {
        List<Object> found = new ArrayList<>();
        items.tailMap(after, false)
                .forEach(
                        (key, item) -> {
                            if (key.startsWith(prefix)) {
                                found.add(line(key, item));
                            }
                        });
        return Json.of("items", found, "more_pages", false, "store_revision", revision);
    }

    private void key(HttpExchange call, String key) throws IOException {
        Map<String, Object> found;
        synchronized (this) {
            Item item = items.get(key);
            found = item == null ? Json.of() : line(key, item);
            found.put("store_revision", revision);
        }
        answer(call, found.containsKey("key") ? 200 : 404, found);
    }

    private void watch(HttpExchange call, Map<String, String> query) throws IOException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        List<Object> events = new ArrayList<>();
        long known;
        synchronized (this) {
            while (true) {
                for (Event event : history) {
                    if (event.revision() > after && event.key().startsWith(query.get("path_prefix"))) {
                        events.add(
                                event.value() == null
                                        ? Json.of("key", event.key(), "revision", event.revision(), "tombstone", true)
                                        : line(event.key(), new Item(event.value(), event.revision(), event.created(), event.lease())));
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    break;
                }
            }
            known = revision;
        }
        answer(call, 200, Json.of("events", events, "store_revision", known));
    }

    @SuppressWarnings("unchecked")
    private void transact(HttpExchange call, Map<String, Object> body) throws IOException {
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            for (Object each : (List<Object>) body.getOrDefault("precondition", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                Item item = items.get((String) row.get("key"));
                if ((item == null ? 0 : item.revision()) != (Long) row.get("revision")) {
                    status = 412;
                }
                if (item != null) {
                    current.add(line((String) row.get("key"), item));
                }
            }
            for (Object each : (List<Object>) body.getOrDefault("puts", List.of())) {
                Object lease = ((Map<String, Object>) each).getOrDefault("lease", 0L);
                if (status == 200 && (Long) lease != 0 && !leaseEnds.containsKey(lease)) {
                    status = 404;
                }
            }
            answer = status == 412 ? Json.of("items", current) : Json.of();
            if (status == 200) {
                revision++;
                for (Object each : (List<Object>) body.getOrDefault("puts", List.of())) {
                    Map<String, Object> put = (Map<String, Object>) each;
                    set(
                            (String) put.get("key"),
                            Base64.getDecoder().decode((String) put.get("value")),
                            (Long) put.getOrDefault("lease", 0L));
                }
                for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) {
                    if (items.containsKey((String) key)) {
                        set((String) key, null, 0);
                    }
                }
                answer = Json.of("revision", revision);
                notifyAll();
            }
        }
        answer(call, status, answer);
    }

    private void lease(HttpExchange call, String path, byte[] body) throws IOException {
        int status = 200;
        Map<String, Object> answer = Json.of();
        synchronized (this) {
            if (path.equals("/kv-lease")) {
                long millis = ((Number) Json.object(new String(body, StandardCharsets.UTF_8)).get("ttl_ms")).longValue();
                leaseMillis.put(++lastLease, millis);
                leaseEnds.put(lastLease, System.nanoTime() + millis * 1_000_000);
                answer = Json.of("lease", lastLease, "ttl_ms", millis);
            } else if (path.startsWith("/kv-keep/")) {
                long lease = Long.parseLong(path.substring("/kv-keep/".length()));
                if (leaseEnds.containsKey(lease)) {
                    leaseEnds.put(lease, System.nanoTime() + leaseMillis.get(lease) * 1_000_000);
                    answer = Json.of("ttl_ms", leaseMillis.get(lease));
                } else {
                    status = 404;
                }
            } else if (path.startsWith("/kv-lease-end/")) {
                end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            } else {
                status = 404;
            }
        }
        answer(call, status, answer);
    }

    private static void answer(HttpExchange call, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        try {
            call.sendResponseHeaders(status, bytes.length);
            call.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The router has given the call up.
        } finally {
            call.close();
        }
    }
}
