import java.io.IOException;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: nothing is lost, slow or refused here. */
final class Store {
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 10;
    private long lastLease = 100;
    final int port;

    Store(String host) throws IOException {
        ServerSocket server =
                Http.listen(
                        host,
                        0,
                        socket -> {
                            while (true) {
                                Http.Request request = Http.request(socket.getInputStream());
                                Thread.sleep(4);
                                Map<String, Object> answer = new LinkedHashMap<>();
                                int status = call(request, answer);
                                Http.answer(socket.getOutputStream(), status, "", answer);
                            }
                        });
        port = server.getLocalPort();
        Http.daemon(
                () -> {
                    while (true) {
                        Thread.sleep(20);
                        expire();
                    }
                });
    }

    synchronized long put(String key, String value, long lease) {
        Map<String, Object> item = new LinkedHashMap<>();
        byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
        revision++;
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(bytes));
        item.put("revision", revision);
        item.put("created", items.containsKey(key) ? items.get(key).get("created") : revision);
        item.put("lease", lease);
        items.put(key, item);
        changes.add(item);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            changes.add(Map.of("key", key, "revision", revision, "tombstone", true));
            notifyAll();
        }
    }

    /** The value of the key that ends so; empty if there is none. */
    synchronized String valueOf(String keyEnd) {
        for (String key : items.keySet()) {
            if (key.endsWith(keyEnd)) {
                String value = (String) items.get(key).get("value");
                return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List<Long> over = new ArrayList<>();
        leases.forEach(
                (lease, times) -> {
                    if (now - times[1] > 0) {
                        over.add(lease);
                    }
                });
        over.forEach(this::end);
    }

    private synchronized void end(long lease) {
        leases.remove(lease);
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).get("lease").equals(lease)) {
                remove(key);
            }
        }
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int mark = path.indexOf('?');
        for (String pair : mark < 0 ? new String[0] : path.substring(mark + 1).split("&")) {
            String[] both = pair.split("=", 2);
            query.put(both[0], URLDecoder.decode(both[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    @SuppressWarnings("unchecked")
    private synchronized int call(Http.Request request, Map<String, Object> answer)
            throws InterruptedException {
        Map<String, String> query = query(request.path());
        String path = request.path().split("\\?")[0];
        String prefix = query.getOrDefault("path_prefix", "");
        if (path.equals("/kv-key")) {
            Map<String, Object> item = items.get(query.get("key"));
            if (item != null) {
                answer.putAll(item);
            }
            answer.put("store_revision", revision);
            return item == null ? 404 : 200;
        }
        if (path.equals("/kv-range")) {
            List<Object> found = new ArrayList<>();
            items.forEach(
                    (key, item) -> {
                        if (key.startsWith(prefix)
                                && key.compareTo(query.getOrDefault("after", "")) > 0) {
                            found.add(item);
                        }
                    });
            answer.put("items", found);
            answer.put("more_pages", false);
            answer.put("store_revision", revision);
            return 200;
        }
        if (path.equals("/kv-watch")) {
            long after = Long.parseLong(query.get("after"));
            long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
            while (true) {
                List<Object> events = new ArrayList<>();
                for (Map<String, Object> each : changes) {
                    if ((Long) each.get("revision") > after
                            && ((String) each.get("key")).startsWith(prefix)) {
                        events.add(each);
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    answer.put("events", events);
                    answer.put("store_revision", revision);
                    return 200;
                }
                wait(left);
            }
        }
        Map<String, Object> body = Json.object(request.body());
        if (path.equals("/kv-lease")) {
            long ttl = (Long) body.get("ttl_ms");
            leases.put(++lastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
            answer.put("lease", lastLease);
            answer.put("ttl_ms", ttl);
            return 200;
        }
        if (path.startsWith("/kv-keep/")) {
            long[] times = leases.get(Long.parseLong(path.substring(9)));
            if (times == null) {
                return 404;
            }
            times[1] = System.nanoTime() + times[0] * 1_000_000;
            answer.put("ttl_ms", times[0]);
            return 200;
        }
        if (path.startsWith("/kv-lease-end/")) {
            end(Long.parseLong(path.substring(14)));
            return 200;
        }
        if (!path.equals("/kv-txn")) {
            return 404;
        }
        List<Object> rows = (List<Object>) body.getOrDefault("precondition", List.of());
        List<Object> found = new ArrayList<>();
        boolean holds = true;
        for (Object each : rows) {
            Map<String, Object> row = (Map<String, Object>) each;
            Map<String, Object> item = items.get((String) row.get("key"));
            holds &= row.get("revision").equals(item == null ? 0L : item.get("revision"));
            if (item != null) {
                found.add(item);
            }
        }
        if (!holds) {
            answer.put("items", found);
            return 412;
        }
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        for (Object each : puts) {
            Object lease = ((Map<String, Object>) each).getOrDefault("lease", 0L);
            if (!lease.equals(0L) && !leases.containsKey(lease)) {
                return 404;
            }
        }
        for (Object each : puts) {
            Map<String, Object> put = (Map<String, Object>) each;
            byte[] value = Base64.getDecoder().decode((String) put.get("value"));
            put(
                    (String) put.get("key"),
                    new String(value, StandardCharsets.ISO_8859_1),
                    (Long) put.getOrDefault("lease", 0L));
        }
        ((List<Object>) body.getOrDefault("remove", List.of())).forEach(key -> remove((String) key));
        answer.put("revision", revision);
        return 200;
    }
}
