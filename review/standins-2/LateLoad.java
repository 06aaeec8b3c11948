import java.nio.charset.StandardCharsets;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 6: LateLoad REPOSITORY FOLDER RECORD TROUBLE. Exits with 1 if LIMIT was broken. */
final class LateLoad {
    private static final String HOST = "127.0.0.1";
    private static final List<String> MODELS = List.of("m0", "m1", "m2", "m3", "m4", "m5");

    private final Record record;
    private final Store store = new Store(HOST);
    private final List<Router> routers = new ArrayList<>();
    private final ModelWorker worker;
    private final AtomicInteger sent = new AtomicInteger();
    private final Map<String, Integer> answers = new LinkedHashMap<>();
    private volatile List<String> wanted = List.of("m0", "m1");
    private volatile boolean adapters;

    private LateLoad(Path repository, Path folder, Path recordFile) throws Exception {
        record = new Record(recordFile);
        store.put("op/config", Json.write(configuration()), 0);
        worker = new ModelWorker(store, record, HOST, "i-7f3a91c2", List.of("m0", "m1"));
        for (int i = 1; i <= 3; i++) {
            routers.add(new Router("edge-" + i, HOST, store.port, repository, folder));
        }
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        LateLoad all =
                new LateLoad(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]));
        Runtime.getRuntime().addShutdownHook(new Thread(all::endRouters));
        try {
            result = all.play(!arguments[3].equals("0"));
        } catch (Exception e) {
            all.record.line("could not run: " + e);
        }
        all.endRouters();
        Runtime.getRuntime().halt(result);
    }

    private void endRouters() {
        try {
            for (Router each : routers) {
                each.kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Object> configuration() {
        List<Object> models = new ArrayList<>();
        for (String name : MODELS) {
            Map<String, Object> model = new LinkedHashMap<>();
            model.put("name", name);
            model.put("weights_mb", ModelWorker.MODEL_MB);
            model.put("load_s", 6.0);
            model.put("warm_s", 0.78);
            model.put("disk_s", 1.0);
            model.put("adapters", 12);
            model.put("adapter_mb", ModelWorker.ADAPTER_MB);
            models.add(model);
        }
        Map<String, Object> engine = new LinkedHashMap<>();
        engine.put("slots", 128);
        engine.put("kv_capacity_tokens", 139_274);
        engine.put("models", models);
        engine.put("weights_mb", ModelWorker.WEIGHTS_MB);
        engine.put("adapter_slots", ModelWorker.ADAPTER_SLOTS);
        engine.put("loads_per_s", 3.7);
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", "models");
        service.put("health_path", "/healthz");
        service.put("max_conns", 630);
        service.put("engine", engine);
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-1");
        route.put("host", "models.example");
        route.put("path_prefix", "/a/");
        route.put("route_kind", "streaming");
        route.put("timeout_ms", 15_000);
        route.put("slo_ms", 600);
        route.put("priority", 1);
        route.put("service", "models");
        route.put("attempts", 2);
        route.put("anonymous", true);
        route.put("sticky", true);
        route.put("resumable", true);
        route.put("gap_slo_ms", 250);
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max_header_bytes", 16_384);
        limits.put("max_body_bytes", 4_194_304);
        limits.put("header_timeout_ms", 3_000);
        limits.put("idle_timeout_ms", 15_000);
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("version", 7);
        all.put("routes", List.of(route));
        all.put("services", List.of(service));
        all.put("limits", limits);
        all.put("tenants", List.of());
        return all;
    }

    private int play(boolean trouble) throws Exception {
        for (Router each : routers) {
            each.start();
        }
        for (Router each : routers) {
            each.awaitReady();
        }
        record.line("three routers are ready; the worker holds m0 and m1");
        Http.daemon(this::ask);
        Thread.sleep(3_000);
        // Demand moves on to a third model, so that the worker's count of orders is above 1.
        want(List.of("m2"));
        await(() -> worker.held().contains("m2") && worker.idle(), 30_000);
        Thread.sleep(1_000);
        if (trouble) {
            worker.makeLate("m3");
        }
        want(List.of("m3"));
        if (trouble) {
            await(worker::hasLateOrder, 20_000);
            Thread.sleep(500);
            want(List.of("m0", "m1"));
            disrupt();
        } else {
            await(() -> worker.held().contains("m3"), 30_000);
            want(List.of("m0", "m1"));
        }
        adapters = true;
        for (int i = 0; i < 150 && worker.broken().isEmpty(); i++) {
            Thread.sleep(100);
            worker.carryOutLate();
        }
        synchronized (answers) {
            record.line("requests sent: " + sent + ", answers by status: " + answers);
        }
        boolean broken = !worker.broken().isEmpty();
        record.line(broken ? "BROKEN " + worker.broken() : "HELD");
        return broken ? 1 : 0;
    }

    /** The leader's process is killed and starts again; the worker crashes and starts again. */
    private void disrupt() throws Exception {
        Router router = leader();
        record.line("SIGKILL to " + router.name + ", which gave the order");
        router.kill();
        Http.daemon(
                () -> {
                    Thread.sleep(500);
                    router.start();
                    record.line(router.name + " is started again");
                });
        worker.crash(1_000);
    }

    private Router leader() {
        String name = store.valueOf("fleet/giver");
        return routers.stream()
                .filter(each -> each.name.equals(name))
                .findFirst()
                .orElse(routers.get(0));
    }

    private void want(List<String> models) {
        record.line("callers now ask for " + models);
        wanted = models;
    }

    private interface Condition {
        boolean holds();
    }

    private static void await(Condition condition, long millis) throws InterruptedException {
        for (long i = 0; !condition.holds(); i += 20) {
            if (i > millis) {
                throw new IllegalStateException("what was waited for did not come");
            }
            Thread.sleep(20);
        }
    }

    private void ask() throws InterruptedException {
        while (true) {
            for (String model : wanted) {
                int number = sent.incrementAndGet();
                String name = adapters && number % 3 == 0 ? model + "/a" + (1 + number % 4) : model;
                // A caller stays with the router that it was assigned: that of m3 with the leader.
                Router router =
                        model.equals("m3") ? leader() : routers.get(number % routers.size());
                Http.daemon(() -> request(router, number, name));
            }
            Thread.sleep(250);
        }
    }

    private void request(Router router, int number, String model) {
        String status = "none";
        try (Socket socket = new Socket(HOST, router.callers)) {
            socket.setSoTimeout(16_000);
            String attempt = String.format("%016x", number);
            String request =
                    "POST /a/x HTTP/1.1\r\nHost: models.example\r\nAttempt-Id: " + attempt
                            + "\r\nModel: " + model + "\r\nToken-Usage: 50,40\r\nPrompt-Prefix: "
                            + attempt + ":50\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            status = Http.line(socket.getInputStream()).split(" ")[1];
            byte[] rest = new byte[4096];
            StringBuilder all = new StringBuilder();
            while (status.equals("200") && all.indexOf("0\r\n\r\n") < 0) {
                int read = socket.getInputStream().read(rest);
                if (read < 0) {
                    break;
                }
                all.append(new String(rest, 0, read, StandardCharsets.ISO_8859_1));
            }
            if (status.equals("200") && !all.toString().endsWith("0\r\n\r\n")) {
                status = "200, cut off";
            }
        } catch (java.io.IOException e) {
            status = status.equals("none") ? "closed without an answer" : status + ", cut off";
        }
        synchronized (answers) {
            answers.merge(status, 1, Integer::sum);
        }
    }
}
