import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A config states a larger size of a model while workers load and unload models as usual. */
final class ResizedModel {
    private static final double WEIGHTS_MB = 83_000;
    private static final double LARGE_MB = 34_300;
    private static final double SMALL_MB = 16_100;

    /** Longer than config_apply_ms (2 s) and the largest stretch of it together. */
    private static final int APPLY_MILLIS = 8_000;

    private static final int GAP_MILLIS = 400;

    private ResizedModel() {}

    static int play(Case with) throws Exception {
        Store store = new Store();
        Config config = new Config(store, WEIGHTS_MB);
        config.tenant("tenant-1", "key-1");
        config.stream("talk", "/talk/", "engines");
        List<String> models = List.of("m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8");
        for (String model : models) {
            config.model(model, models.indexOf(model) < 3 ? LARGE_MB : SMALL_MB);
        }
        config.publish();
        List<ModelWorker> workers =
                List.of(
                        new ModelWorker(store, config, "i-1", List.of("m1", "m4"), models),
                        new ModelWorker(store, config, "i-2", List.of("m2", "m5"), models));
        List<RouterProcess> routers = with.startRouters(2, store);
        Record.sleep(2_000);
        int served = ask(routers, models, 20);
        int overloads = overloads(workers);
        if (served < 10 || overloads > 0) {
            return Case.COULD_NOT_RUN;
        }
        if (with.trouble) {
            config.model("m4", LARGE_MB);
        }
        config.publish();
        Record.sleep(APPLY_MILLIS);
        int later = ask(routers, models, 100);
        overloads = overloads(workers);
        Record.line(
                "served %d of 20 before and %d of 100 after the config; %d orders to load more than"
                        + " a worker holds",
                served, later, overloads);
        return overloads > 0 ? Case.BROKEN : Case.HELD;
    }

    private static int overloads(List<ModelWorker> workers) {
        return workers.stream().mapToInt(ModelWorker::overloads).sum();
    }

    private static int ask(List<RouterProcess> routers, List<String> models, int count) throws Exception {
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String model = models.get(number * 3 % models.size());
            RouterProcess router = routers.get(number % routers.size());
            Thread thread =
                    new Thread(
                            () -> {
                                Caller.Answer answer = Caller.stream(router, "/talk/1", "key-1", model, 20);
                                Record.line(
                                        "request %s for %s: %d %s %s",
                                        answer.attempt(),
                                        model,
                                        answer.status(),
                                        answer.complete() ? "complete" : "cut",
                                        answer.failure());
                                served.addAndGet(answer.served() ? 1 : 0);
                            });
            thread.start();
            threads.add(thread);
            Record.sleep(GAP_MILLIS);
        }
        for (Thread each : threads) {
            each.join();
        }
        return served.get();
    }
}
