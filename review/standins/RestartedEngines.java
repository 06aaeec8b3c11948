import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model workers crash one after the other and start again under their ids, empty. Checks that the
 * kind of request that they serve is served at least a quarter as often as all requests.
 */
final class RestartedEngines {
    private static final int ENGINES = 4;
    private static final int MODELS = 8;
    private static final long DOWN_MILLIS = 2_000;
    private static final long CRASH_GAP_MILLIS = 4_000;
    private static final long BEFORE_MILLIS = 5_000;
    private static final long DAY_MILLIS = 92_000;

    private RestartedEngines() {}

    /** Requests of one kind: how many were sent, and how many were served, in all and lately. */
    private static final class Count {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        double share() {
            return served.get() / (double) Math.max(1, sent.get());
        }

        @Override
        public String toString() {
            return served.get() + " of " + sent.get();
        }
    }

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<Router> routers = new ArrayList<>();
        int result = 2;
        try (Folder folder = new Folder();
                Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            try {
                result = run(trouble, folder, record, routers);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                routers.forEach(Router::kill);
                routers.forEach(Router::appendLog);
            }
        }
        System.exit(result);
    }

    private static String configuration() {
        StringBuilder models = new StringBuilder();
        for (int each = 0; each < MODELS; each++) {
            models.append(each == 0 ? "" : ",").append("{\"name\":\"m" + each
                    + "\",\"weights_mb\":60000,\"load_s\":6.0,\"warm_s\":0.44,\"disk_s\":0.68,\"adapters\":0,\"adapter_mb\":66}");
        }
        return """
            {"version":1,"routes":[
             {"name":"write","host":"site.example","path_prefix":"/write/","route_kind":"streaming",
              "timeout_ms":12000,"slo_ms":300,"priority":1,"service":"writer","attempts":1,
              "resumable":false,"sticky":true,"gap_slo_ms":150},
             {"name":"look","host":"site.example","path_prefix":"/look/","route_kind":"idempotent",
              "timeout_ms":1500,"slo_ms":121,"priority":2,"service":"book","attempts":2}],
            "services":[{"name":"book","health_path":"/healthz","max_conns":110},
             {"name":"writer","health_path":"/healthz","max_conns":250,"engine":{"slots":32,
              "kv_capacity_tokens":95068,"weights_mb":140000,"adapter_slots":8,"loads_per_s":5.8,
              "models":[%s]}}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
            "tenants":[{"name":"growers","api_keys":["growers-key"],"unit":"token_based",
             "plain_tokens":200,"rate_per_s":400000,"burst":400000}]}
            """.formatted(models);
    }

    private static int run(boolean trouble, Folder folder, Record record, List<Router> routers)
            throws InterruptedException {
        Store store = new Store(record);
        store.put("op/config", configuration());
        for (String zone : List.of("a", "b", "c")) {
            new Worker("i-" + zone, "book", zone, store, record, false, 20, 0).start(Set.of(), Set.of());
        }
        Set<String> all = new TreeSet<>();
        for (int each = 0; each < MODELS; each++) {
            all.add("m" + each);
        }
        List<Worker> engines = new ArrayList<>();
        for (int each = 0; each < ENGINES; each++) {
            Worker engine = new Worker("e-" + each, "writer", List.of("a", "b", "c").get(each % 3), store, record, true, 120, 680);
            engine.start(Set.of("m" + 2 * each, "m" + (2 * each + 1)), all);
            engines.add(engine);
        }
        routers.add(new Router(1, "a", store.address(), folder.path(), record));
        routers.add(new Router(2, "b", store.address(), folder.path(), record));
        routers.forEach(Router::start);
        for (Router each : routers) {
            if (!each.awaitReady(20_000)) {
                record.say("can't run: " + each.vm() + " is not ready");
                return 2;
            }
        }
        Worker.pause(4_000);
        ExecutorService senders = Executors.newCachedThreadPool();
        Client client = new Client(record);
        Map<String, Count> counts = new TreeMap<>(Map.of("stream", new Count(), "lookup", new Count()));
        Map<String, Count> late = new TreeMap<>(Map.of("stream", new Count(), "lookup", new Count()));
        long start = System.nanoTime();
        long end = start + DAY_MILLIS * 1_000_000;
        long lateFrom = start + (BEFORE_MILLIS + ENGINES * CRASH_GAP_MILLIS + 10_000) * 1_000_000;
        Thread crashes = new Thread(() -> crash(trouble, engines, all));
        crashes.setDaemon(true);
        crashes.start();
        int number = 0;
        while (System.nanoTime() < end) {
            int mine = number++;
            boolean stream = mine % 4 == 0;
            String kind = stream ? "stream" : "lookup";
            boolean isLate = System.nanoTime() > lateFrom;
            senders.execute(() -> {
                Router router = routers.get(mine / 4 % routers.size());
                Client.Outcome outcome = stream
                        ? client.send(router, "POST", "/write/" + mine, "growers-key", "m" + mine / 8 % MODELS, 50, 12_000)
                        : client.send(router, "GET", "/look/" + mine, "growers-key", null, 0, 1_500);
                for (Map<String, Count> each : isLate ? List.of(counts, late) : List.of(counts)) {
                    each.get(kind).sent.incrementAndGet();
                    each.get(kind).served.addAndGet(outcome.served() ? 1 : 0);
                }
            });
            Worker.pause(8);
        }
        senders.shutdown();
        senders.awaitTermination(13, TimeUnit.SECONDS);
        for (Worker each : engines) {
            record.say("worker " + each.id() + " is up and holds " + each.held() + ", ran " + each.runs()
                    + " and answered 421 to " + each.misdirected());
        }
        record.say("served in all: " + counts);
        record.say("served later than 10 s after the last worker was back: " + late);
        double everything = (counts.get("stream").served.get() + counts.get("lookup").served.get())
                / (double) (counts.get("stream").sent.get() + counts.get("lookup").sent.get());
        boolean broken = counts.get("stream").share() < everything / 4;
        record.say(broken ? "Starved is broken" : "Starved holds");
        return broken ? 1 : 0;
    }

    private static void crash(boolean trouble, List<Worker> engines, Set<String> onDisk) {
        Worker.pause(BEFORE_MILLIS);
        for (Worker each : engines) {
            if (trouble) {
                each.crash();
                Worker.pause(DOWN_MILLIS);
                each.start(Set.of(), onDisk);
                Worker.pause(CRASH_GAP_MILLIS - DOWN_MILLIS);
            }
        }
    }
}
