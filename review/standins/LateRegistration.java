import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * All routers are killed and come back while the store leaves some writes unanswered and carries
 * them out late. Checks RECOVER: of the requests sent later than recover_s after the machines are
 * back, a quarter or more is served.
 */
final class LateRegistration {
    private static final long RECOVER_MILLIS = 12_000;
    private static final long LOST_MILLIS = 4_500;
    private static final long LATE_MILLIS = 2_500;
    private static final long DOWN_MILLIS = 770;
    private static final double MOST_LOST = 0.35;

    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[
             {"name":"pay","host":"site.example","path_prefix":"/pay/","route_kind":"non_idempotent",
              "timeout_ms":1500,"slo_ms":121,"priority":1,"service":"book","attempts":1},
             {"name":"look","host":"site.example","path_prefix":"/look/","route_kind":"idempotent",
              "timeout_ms":1500,"slo_ms":121,"priority":2,"service":"book","attempts":2}],
            "services":[{"name":"book","health_path":"/healthz","max_conns":110}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
            "tenants":[{"name":"growers","api_keys":["growers-key"],"unit":"token_based",
             "plain_tokens":200,"rate_per_s":40000,"burst":40000},
             {"name":"harbour","api_keys":["harbour-key"],"unit":"token_based",
             "plain_tokens":200,"rate_per_s":40000,"burst":40000}]}
            """;

    private LateRegistration() {}

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<Router> routers = new ArrayList<>();
        int result = 2;
        try (Folder folder = new Folder();
                Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            try {
                result = run(trouble, folder, record, routers);
            } finally {
                routers.forEach(Router::kill);
                routers.forEach(Router::appendLog);
            }
        }
        System.exit(result);
    }

    private static int run(boolean trouble, Folder folder, Record record, List<Router> routers) {
        Store store = new Store(record);
        store.put("op/config", CONFIGURATION);
        for (String zone : List.of("a", "b", "c")) {
            new Worker("i-" + zone, "book", zone, store, record, false, 20, 0).start(Set.of(), Set.of());
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
        Worker.pause(5_000);
        double before = servedShare(routers, 8_000, record, "before the final fault");
        routers.forEach(Router::kill);
        Worker.pause(DOWN_MILLIS);
        Set<String> met = new HashSet<>();
        if (trouble) {
            store.late(body -> isFirstRegistration(body, met), LATE_MILLIS);
        } else {
            store.late(body -> false, LATE_MILLIS);
        }
        long backAt = System.nanoTime();
        routers.forEach(Router::start);
        Worker.pause(LOST_MILLIS);
        int writes = store.writes();
        int late = store.lateWrites();
        record.say("writes in " + LOST_MILLIS + " ms: " + writes + ", of them not answered and done late: " + late);
        store.late(body -> false, LATE_MILLIS);
        if (late > MOST_LOST * writes) {
            record.say("can't run: more writes were lost than the pages allow");
            return 2;
        }
        for (Router each : routers) {
            if (!each.awaitReady(10_000)) {
                record.say("can't run: " + each.vm() + " is not ready again");
                return 2;
            }
        }
        servedShare(routers, 6_000, record, "while they recover");
        long left = RECOVER_MILLIS - (System.nanoTime() - backAt) / 1_000_000;
        Worker.pause(Math.max(0, left) + 500);
        record.say("entries of routers in the store: " + store.keys("/fleet/routers/"));
        double after = servedShare(routers, 30_000, record, "later than recover_s after they are back");
        record.say("entries of routers in the store: " + store.keys("/fleet/routers/"));
        routers.forEach(each -> record.say(each.vm() + " says that it is ready: " + each.isReady()));
        if (before < 0.25) {
            record.say("can't run: too little was served before");
            return 2;
        }
        boolean broken = after < 0.25;
        record.say(broken ? "RECOVER is broken" : "RECOVER holds");
        return broken ? 1 : 0;
    }

    private static boolean isFirstRegistration(String body, Set<String> met) {
        int at = body.indexOf("/fleet/routers/");
        if (at < 0) {
            return false;
        }
        String name = body.substring(at, body.indexOf('"', at));
        return met.add(name);
    }

    private static double servedShare(List<Router> routers, long millis, Record record, String when) {
        Client client = new Client(record);
        long end = System.nanoTime() + millis * 1_000_000;
        int sent = 0;
        int served = 0;
        while (System.nanoTime() < end) {
            long next = System.nanoTime() + 100_000_000;
            Router router = routers.get(sent % routers.size());
            String key = sent / 2 % 2 == 0 ? "growers-key" : "harbour-key";
            boolean pay = sent / 4 % 2 == 0;
            Client.Outcome outcome = client.send(
                    router, pay ? "POST" : "GET", pay ? "/pay/" + sent : "/look/" + sent, key, null, 0, 1_500);
            sent++;
            served += outcome.served() ? 1 : 0;
            Worker.pause(Math.max(0, (next - System.nanoTime()) / 1_000_000));
        }
        record.say("served " + when + ": " + served + " of " + sent);
        return served / (double) sent;
    }
}
