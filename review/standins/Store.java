import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The platform's store: items, watches, transactions, and leases whose keys are removed when they
 * end. A chosen write can get no answer and be carried out later, as PROTOCOL.md allows.
 */
final class Store {
    private final HttpServer server;
    private final Record record;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;
    private int writes;
    private int lateWrites;
    private Predicate<String> isLate = any -> false;
    private long lateMillis;

    /** An item, or with no value the removal of one. */
    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Lease(long ttlMillis, long untilNanos) {}

    private record Answer(int status, String body) {}

    Store(Record record) {
        this.record = record;
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        server.createContext("/", this::handle);
        server.start();
        timers.scheduleAtFixedRate(this::endLeases, 10, 10, TimeUnit.MILLISECONDS);
    }

    private static Thread daemon(Runnable step) {
        Thread thread = new Thread(step);
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /**
     * From now on, a transaction of which the body passes the test gets no answer, and is carried
     * out that much later.
     */
    synchronized void late(Predicate<String> test, long millis) {
        isLate = test;
        lateMillis = millis;
        writes = 0;
        lateWrites = 0;
    }

    /** Returns how many writes have come since the last call of {@link #late}. */
    synchronized int writes() {
        return writes;
    }

    /** Returns how many of them got no answer and were carried out late. */
    synchronized int lateWrites() {
        return lateWrites;
    }

    synchronized List<String> keys(String part) {
        return items.keySet().stream().filter(key -> key.contains(part)).toList();
    }

    synchronized void put(String key, String value) {
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            set(key, null, 0);
        }
    }

    void stop() {
        timers.shutdownNow();
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        Answer answer;
        if (path.equals("/kv-watch")) {
            answer = watch(query);
        } else if (path.equals("/kv-txn") && takesLate(body)) {
            // No answer: the connection stays silent and is closed long after the caller has gone.
            timers.schedule(() -> lateTransaction(body), lateMillis, TimeUnit.MILLISECONDS);
            timers.schedule(exchange::close, 20, TimeUnit.SECONDS);
            return;
        } else {
            answer = answer(path, query, body);
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    private synchronized boolean takesLate(String body) {
        writes++;
        if (!isLate.test(body)) {
            return false;
        }
        lateWrites++;
        record.line("store: no answer to, and done " + lateMillis + " ms later: " + shown(body));
        return true;
    }

    private void lateTransaction(String body) {
        Answer answer = transact(body);
        record.line("store: late transaction done, status " + answer.status() + ": " + shown(body));
    }

    private synchronized Answer answer(String path, Map<String, String> query, String body) {
        if (path.equals("/kv-range")) {
            return range(query.getOrDefault("path_prefix", ""), query.getOrDefault("after", ""));
        }
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("key"));
            return item == null ? new Answer(404, "{}") : new Answer(200, line(item));
        }
        if (path.equals("/kv-txn")) {
            return transact(body);
        }
        if (path.equals("/kv-lease")) {
            writes++;
            long ttl = Json.whole(Json.object(body), "ttl_ms");
            leases.put(++lastLease, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
            return new Answer(200, "{\"lease\":" + lastLease + ",\"ttl_ms\":" + ttl + "}");
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/kv-keep/")) {
            Lease lease = leases.get(id);
            if (lease == null) {
                return new Answer(404, "{}");
            }
            long until = System.nanoTime() + lease.ttlMillis() * 1_000_000;
            leases.put(id, new Lease(lease.ttlMillis(), until));
            return new Answer(200, "{\"ttl_ms\":" + lease.ttlMillis() + "}");
        }
        if (path.startsWith("/kv-lease-end/")) {
            writes++;
            return new Answer(end(id) ? 200 : 404, "{}");
        }
        return new Answer(404, "{}");
    }

    private Answer range(String prefix, String after) {
        StringBuilder found = new StringBuilder();
        for (Item item : items.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                found.append(found.length() == 0 ? "" : ",").append(line(item));
            }
        }
        return new Answer(
                200,
                "{\"items\":[" + found + "],\"more_pages\":false,\"store_revision\":" + revision + "}");
    }

    private synchronized Answer watch(Map<String, String> query) {
        String prefix = query.getOrDefault("path_prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (int index = firstAfter(after); index < history.size(); index++) {
                Item item = history.get(index);
                if (item.key().startsWith(prefix)) {
                    events.append(events.length() == 0 ? "" : ",").append(line(item));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return new Answer(
                        200, "{\"events\":[" + events + "],\"store_revision\":" + revision + "}");
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return new Answer(503, "{}");
            }
        }
    }

    private int firstAfter(long after) {
        int index = history.size();
        while (index > 0 && history.get(index - 1).revision() > after) {
            index--;
        }
        return index;
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer transact(String body) {
        Map<String, Object> asked = Json.object(body);
        List<Object> conditions = (List<Object>) asked.getOrDefault("precondition", List.of());
        boolean holds = true;
        StringBuilder found = new StringBuilder();
        for (Object each : conditions) {
            Map<String, Object> condition = (Map<String, Object>) each;
            Item item = items.get((String) condition.get("key"));
            holds &= (item == null ? 0 : item.revision()) == Json.whole(condition, "revision");
            if (item != null) {
                found.append(found.length() == 0 ? "" : ",").append(line(item));
            }
        }
        if (!holds) {
            return new Answer(412, "{\"items\":[" + found + "],\"store_revision\":" + revision + "}");
        }
        List<Object> puts = (List<Object>) asked.getOrDefault("puts", List.of());
        for (Object each : puts) {
            long lease = Json.whole((Map<String, Object>) each, "lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, "{}");
            }
        }
        for (Object each : puts) {
            Map<String, Object> put = (Map<String, Object>) each;
            set((String) put.get("key"), (String) put.get("value"), Json.whole(put, "lease"));
        }
        for (Object key : (List<Object>) asked.getOrDefault("remove", List.of())) {
            remove((String) key);
        }
        return new Answer(200, "{\"revision\":" + revision + "}");
    }

    private void set(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        long created = before == null ? revision : before.created();
        Item item = new Item(key, value, revision, created, lease);
        history.add(item);
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, item);
        }
        if (key.contains("/fleet/")) {
            record.line("store: " + key + (value == null ? " removed" : " written, lease " + lease));
        }
        notifyAll();
    }

    private synchronized void endLeases() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> ended.addAll(lease.untilNanos() < now ? List.of(id) : List.of()));
        ended.forEach(this::end);
    }

    private boolean end(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> keys.addAll(item.lease() == id ? List.of(item.key()) : List.of()));
        keys.forEach(key -> set(key, null, 0));
        return true;
    }

    private static String line(Item item) {
        if (item.value() == null) {
            return "{\"key\":" + Json.quote(item.key()) + ",\"revision\":" + item.revision() + ",\"tombstone\":true}";
        }
        return "{\"key\":" + Json.quote(item.key())
                + ",\"value\":" + Json.quote(item.value())
                + ",\"revision\":" + item.revision()
                + ",\"created\":" + item.created()
                + ",\"lease\":" + item.lease() + "}";
    }

    private static String shown(String body) {
        return body.length() > 160 ? body.substring(0, 160) + "..." : body;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> found = new HashMap<>();
        if (raw != null) {
            for (String each : raw.split("&")) {
                String[] parts = each.split("=", 2);
                found.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        return found;
    }
}
