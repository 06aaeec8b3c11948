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
    private static final List<String> MODELS = List.of("m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9");

    private final Record record;
    private final Store store = new Store(HOST);
    private final List<Router> routers = new ArrayList<>();
    private final List<ModelWorker> workers = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final Map<String, Integer> answers = new LinkedHashMap<>();
    private volatile List<String> wanted = MODELS.subList(0, 8);
    private volatile int adapters = 1;

    private LateLoad(Path repository, Path folder, Path recordFile) throws Exception {
        record = new Record(recordFile);
        store.put("op/config", Json.write(configuration()), 0);
        for (int i = 0; i < 8; i += 2) {
            List<String> two = MODELS.subList(i, i + 2);
            workers.add(new ModelWorker(store, record, HOST, "i-7f3a91c" + i / 2, two));
        }
        for (int i = 1; i <= 3; i++) {
            routers.add(new Router("edge-" + i, HOST, store.port, repository, folder));
        }
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        LateLoad all =
                new LateLoad(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]));
        Runtime.getRuntime().addShutdownHook(new Thread(all::endRouters));
        Http.daemon(() -> all.endLate());
        try {
            result = all.play(!arguments[3].equals("0"));
        } catch (Exception e) {
            all.record.line("could not run: " + e);
        }
        all.endRouters();
        Runtime.getRuntime().halt(result);
    }

    /** Ends a run that takes too long. */
    private void endLate() throws InterruptedException {
        Thread.sleep(115_000);
        record.line("could not run in time");
        endRouters();
        Runtime.getRuntime().halt(2);
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
        record.line("three routers are ready; four workers hold two models each, m0 to m7");
        Http.daemon(this::ask);
        // Each model is asked for with one adapter, so that each worker has carried out orders.
        Thread.sleep(5_000);
        List<String> evicted = MODELS.subList(0, 8);
        ModelWorker worker = null;
        if (trouble) {
            workers.forEach(each -> each.makeLate("m8"));
        }
        want(List.of("m8"));
        if (trouble) {
            await(() -> workers.stream().anyMatch(ModelWorker::hasLateOrder), 20_000);
            worker = workers.stream().filter(ModelWorker::hasLateOrder).findFirst().orElseThrow();
            workers.forEach(each -> each.makeLate(""));
            Thread.sleep(500);
            int first = 2 * workers.indexOf(worker);
            evicted = MODELS.subList(first, first + 2);
            want(evicted);
            adapters = 4;
            disrupt(worker);
        } else {
            await(() -> workers.stream().anyMatch(each -> each.held().contains("m8")), 30_000);
            adapters = 4;
            want(evicted);
        }
        for (int i = 0; i < 150 && broken().isEmpty(); i++) {
            Thread.sleep(100);
            workers.forEach(ModelWorker::carryOutLate);
        }
        synchronized (answers) {
            record.line("requests sent: " + sent + ", answers by status: " + answers);
        }
        boolean broken = !broken().isEmpty();
        record.line(broken ? "BROKEN " + broken() : "HELD");
        return broken ? 1 : 0;
    }

    private String broken() {
        return workers.stream()
                .map(ModelWorker::broken)
                .filter(each -> !each.isEmpty())
                .findFirst()
                .orElse("");
    }

    /** The leader's process is killed and starts again; the worker crashes and starts again. */
    private void disrupt(ModelWorker worker) throws Exception {
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
                String adapter = "/a" + (1 + number / 3 % adapters);
                String name = number % 3 == 0 ? model + adapter : model;
                // A caller stays with the router that it was assigned: that of m8 with the leader.
                Router router =
                        model.equals("m8") ? leader() : routers.get(number % routers.size());
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
