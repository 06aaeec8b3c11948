import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 7: EarlyKill REPOSITORY FOLDER RECORD TROUBLE. Exits with 1 if RECOVER was broken. */
final class EarlyKill {
    private static final String HOST = "127.0.0.1";
    private static final int ROUNDS = 3;
    private static final int ROUTERS = 16;
    private static final long DOWN_MS = 700;
    private static final long SPACING_MS = 5;
    private static final long RECOVER_MS = 15_000;

    private final Record record;
    private final Store store = new Store(HOST);
    private final List<Router> routers = new ArrayList<>();
    private final List<PlainWorker> workers = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();

    private EarlyKill(Path repository, Path folder, Record record) throws Exception {
        this.record = record;
        store.put("op/config", Json.write(configuration(7)), 0);
        for (int i = 1; i <= 3; i++) {
            workers.add(new PlainWorker(store, HOST, "i-000" + i, 6));
        }
        for (int i = 1; i <= ROUTERS; i++) {
            routers.add(new Router("edge-" + i, HOST, store.port, repository, folder));
        }
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[2]));
        int result = 0;
        long start = System.nanoTime();
        for (int round = 1; round <= ROUNDS && result == 0; round++) {
            record.line("play " + round + ", with a new store");
            EarlyKill all =
                    new EarlyKill(Path.of(arguments[0]), Path.of(arguments[1]), record);
            Thread hook = new Thread(all::endRouters);
            Runtime.getRuntime().addShutdownHook(hook);
            long left = 115_000 - (System.nanoTime() - start) / 1_000_000;
            Http.daemon(() -> all.endLate(left));
            try {
                result = all.play(!arguments[3].equals("0"));
            } catch (Exception e) {
                record.line("could not run: " + e);
                result = 2;
            }
            all.endRouters();
        }
        Runtime.getRuntime().halt(result);
    }

    /** Ends a run that takes too long. */
    private void endLate(long left) throws InterruptedException {
        Thread.sleep(left);
        record.line("could not run in time");
        endRouters();
        Runtime.getRuntime().halt(2);
    }

    private void endRouters() {
        try {
            for (Router each : routers) {
                each.signalKill();
            }
            for (Router each : routers) {
                each.kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Object> configuration(int version) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", "app");
        service.put("health_path", "/healthz");
        service.put("max_conns", 230);
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-1");
        route.put("host", "app.example");
        route.put("path_prefix", "/a/");
        route.put("route_kind", "idempotent");
        route.put("timeout_ms", 5_000);
        route.put("slo_ms", 150);
        route.put("priority", 1);
        route.put("service", "app");
        route.put("attempts", 2);
        route.put("anonymous", false);
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max_header_bytes", 16_384);
        limits.put("max_body_bytes", 4_194_304);
        limits.put("header_timeout_ms", 3_000);
        limits.put("idle_timeout_ms", 15_000);
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", "hule930");
        tenant.put("api_keys", List.of("i9n73hh2b9wu3fexd9dn"));
        tenant.put("priority", 1);
        tenant.put("unit", "token_based");
        tenant.put("plain_tokens", 200);
        tenant.put("rate_per_s", 400_000);
        tenant.put("burst", 400_000);
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("version", version);
        all.put("routes", List.of(route));
        all.put("services", List.of(service));
        all.put("limits", limits);
        all.put("tenants", List.of(tenant));
        return all;
    }

    private int play(boolean trouble) throws Exception {
        startAll();
        record.line(ROUTERS + " routers are ready");
        Map<String, Integer> before = traffic("before the final fault", 150);
        store.put("op/config", Json.write(configuration(9)), 0);
        record.line("config version 9 acknowledged");
        if (trouble) {
            record.line("SIGKILL to all routers");
            endRouters();
            Thread.sleep(DOWN_MS);
            startAll();
            record.line("all routers are back and ready");
        }
        Thread.sleep(RECOVER_MS);
        Map<String, Integer> after = traffic("later than recover_s after they were back", 5_000);
        record.line("rates in the store: " + store.valueOf("rates/hule930"));
        if (4 * before.getOrDefault("200", 0) < sum(before)) {
            throw new IllegalStateException("less than a quarter was served before");
        }
        boolean broken = 4 * after.getOrDefault("200", 0) < sum(after);
        record.line(broken ? "BROKEN RECOVER: " + after + " after, " + before + " before" : "HELD");
        return broken ? 1 : 0;
    }

    private static int sum(Map<String, Integer> answers) {
        return answers.values().stream().mapToInt(each -> each).sum();
    }

    private void startAll() throws Exception {
        for (Router each : routers) {
            each.start();
        }
        for (Router each : routers) {
            each.awaitReady();
        }
    }

    /** Sends 200 requests a second, of 200 tokens each: a tenth of the tenant's limit. */
    private Map<String, Integer> traffic(String when, long millis) throws InterruptedException {
        Map<String, Integer> answers = new TreeMap<>();
        List<Thread> callers = new ArrayList<>();
        for (long i = 0; i < millis / SPACING_MS; i++) {
            int number = sent.incrementAndGet();
            Thread caller = new Thread(() -> request(number, answers));
            caller.start();
            callers.add(caller);
            Thread.sleep(SPACING_MS);
        }
        for (Thread each : callers) {
            each.join();
        }
        int runs = workers.stream().mapToInt(each -> each.runs.get()).sum();
        record.line("requests " + when + ", by answer: " + answers + "; run so far: " + runs);
        return answers;
    }

    private void request(int number, Map<String, Integer> answers) {
        String status = "no answer";
        try (Socket socket = new Socket(HOST, routers.get(number % ROUTERS).callers)) {
            socket.setSoTimeout(6_000);
            String request =
                    "GET /a/x HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: "
                            + String.format("%016x", number)
                            + "\r\nX-Api-Key: i9n73hh2b9wu3fexd9dn\r\nToken-Usage: 100,100\r\n"
                            + "Deadline-Ms: 5000\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            status = Http.line(socket.getInputStream()).split(" ")[1];
        } catch (IOException e) {
            // Counted as not answered.
        }
        synchronized (answers) {
            answers.merge(status, 1, Integer::sum);
        }
    }
}
