import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A config adds a rarely used model and a route for it; the workers have room for the model. */
final class NewModel {
    private static final double WEIGHTS_MB = 83_000;
    private static final double MODEL_MB = 16_100;

    /** Longer than config_apply_ms (2 s) and the largest stretch of it together. */
    private static final int APPLY_MILLIS = 8_000;

    private static final int GAP_MILLIS = 1_000;
    private static final int COUNT = 40;

    /** Requests for each of the two models of the first config go out this many times as often. */
    private static final int BUSY = 5;

    private NewModel() {}

    static int play(Case with) throws Exception {
        Store store = new Store();
        Config config = new Config(store, WEIGHTS_MB);
        config.tenant("tenant-1", "key-1");
        config.stream("talk", "/talk/", "engines");
        config.model("n1", MODEL_MB);
        config.model("n2", MODEL_MB);
        if (!with.trouble) {
            add(config);
        }
        config.publish();
        List<String> copies = List.of("n1", "n2", "n3");
        new ModelWorker(store, config, "i-3", List.of("n1", "n2"), copies);
        new ModelWorker(store, config, "i-4", List.of("n1", "n2"), copies);
        List<RouterProcess> routers = with.startRouters(2, store);
        Record.sleep(2_000);
        AtomicInteger before = new AtomicInteger();
        send(routers, "/talk/1", List.of("n1", "n2"), 10 * BUSY, GAP_MILLIS / BUSY, before);
        if (before.get() < 8 * BUSY) {
            return Case.COULD_NOT_RUN;
        }
        if (with.trouble) {
            add(config);
        }
        config.publish();
        Thread meanwhile = busy(routers, APPLY_MILLIS / (GAP_MILLIS / BUSY), new AtomicInteger());
        meanwhile.join();
        AtomicInteger first = new AtomicInteger();
        AtomicInteger later = new AtomicInteger();
        Thread old = busy(routers, COUNT * BUSY, first);
        send(routers, "/new/1", List.of("n3"), COUNT, GAP_MILLIS, later);
        old.join();
        Record.line(
                "from 8 s after the config: on the first route served %d of %d, on the later one %d of %d",
                first.get(), COUNT * BUSY, later.get(), COUNT);
        boolean held = 4 * later.get() * COUNT * BUSY >= first.get() * COUNT;
        return held ? Case.HELD : Case.BROKEN;
    }

    private static void add(Config config) {
        config.model("n3", MODEL_MB);
        config.stream("talk-later", "/new/", "engines");
    }

    private static Thread busy(List<RouterProcess> routers, int count, AtomicInteger served) {
        Thread thread =
                new Thread(() -> send(routers, "/talk/1", List.of("n1", "n2"), count, GAP_MILLIS / BUSY, served));
        thread.start();
        return thread;
    }

    private static void send(List<RouterProcess> routers, String path, List<String> models, int count, int gap, AtomicInteger served) {
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String model = models.get(number % models.size());
            RouterProcess router = routers.get(number / models.size() % routers.size());
            Thread thread =
                    new Thread(
                            () -> {
                                Caller.Answer answer = Caller.stream(router, path, "key-1", model, 20);
                                Record.line("request %s on %s for %s: %d %s", answer.attempt(), path, model, answer.status(), answer.complete() ? "complete" : "cut " + answer.failure());
                                served.addAndGet(answer.served() ? 1 : 0);
                            });
            thread.start();
            threads.add(thread);
            Record.sleep(gap);
        }
        for (Thread each : threads) {
            try {
                each.join();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
