package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stands in for the rate-limited weight store: {@code GET /weights/MODEL?vm=NAME} answers when the
 * load is through.
 *
 * <p>With {@code kind=adapter} the load is one of an adapter: it has its own time and slows only
 * beyond about thirty at once.
 */
public final class WeightStoreStandIn implements AutoCloseable {
    private static final String WEIGHTS = "/weights/";
    private static final double NANOS_PER_SECOND = 1e9;

    private final Settings settings;
    private final StandInServer server;
    private final SharedSpeed models;
    private final SharedSpeed adapters;
    private final Map<String, Integer> loads = new TreeMap<>();
    private int highestInFlight;
    private long nextStart = System.nanoTime();

    /**
     * How fast the store is.
     *
     * @param load the time of a model at full speed
     * @param loadsPerSecond how many model loads may start in a second
     * @param fullSpeedLoads how many model loads go at full speed at once
     * @param adapterLoad the time of an adapter at full speed
     * @param fullSpeedAdapters how many adapter loads go at full speed at once
     */
    public record Settings(
            Duration load,
            double loadsPerSecond,
            int fullSpeedLoads,
            Duration adapterLoad,
            int fullSpeedAdapters) {
        /** Refuses values that make no sense, with what is wrong with them. */
        public Settings {
            if (load.isNegative() || adapterLoad.isNegative()) {
                throw new IllegalArgumentException("A load can't take negative time");
            }
            if (!(loadsPerSecond > 0) || fullSpeedLoads < 1 || fullSpeedAdapters < 1) {
                throw new IllegalArgumentException(
                        "The rate and the counts of full speed must be above 0");
            }
        }

        /** Five loads a second, four at once at full speed, a tenth of the time for an adapter. */
        public static Settings of(Duration load) {
            return new Settings(load, 5, 4, load.dividedBy(10), 30);
        }
    }

    private WeightStoreStandIn(Settings settings) {
        this.settings = settings;
        models = new SharedSpeed(settings.fullSpeedLoads(), settings.load().toNanos());
        adapters = new SharedSpeed(settings.fullSpeedAdapters(), settings.adapterLoad().toNanos());
        server = new StandInServer(this::handle, call -> false, this::changeSpeed);
    }

    public static WeightStoreStandIn start(int port, Settings settings) {
        WeightStoreStandIn standIn = new WeightStoreStandIn(settings);
        standIn.server.bind(port);
        return standIn;
    }

    public int port() {
        return server.port();
    }

    public String url() {
        return server.url();
    }

    public void setFault(Fault fault) {
        server.setFault(fault);
    }

    public JsonNode calls() {
        return server.calls();
    }

    /** Loads begun for each model, and how many were in flight at once. */
    public synchronized JsonNode counts() {
        ObjectNode node = Json.object();
        node.set("loads", Json.tree(loads));
        node.put("in_flight", models.inFlight() + adapters.inFlight());
        node.put("highest_in_flight", highestInFlight);
        return node;
    }

    @Override
    public void close() {
        server.close();
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        if (call.is("GET", "/counts")) {
            return CompletableFuture.completedFuture(Json.answer(counts()));
        }
        if (!call.method().equals("GET") || !call.path().startsWith(WEIGHTS)) {
            throw call.notFound();
        }
        String model = call.path().substring(WEIGHTS.length());
        if (model.isEmpty()) {
            throw StandInException.badRequest("The path must name a model");
        }
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        boolean adapter = "adapter".equals(call.query().get("kind"));
        Duration wait = adapter ? Duration.ZERO : reserveStart();
        if (wait.isZero()) {
            begin(model, adapter, answer);
        } else {
            server.runtime().after(wait, () -> begin(model, adapter, answer));
        }
        return answer;
    }

    private synchronized Duration reserveStart() {
        long now = System.nanoTime();
        long start = Math.max(now, nextStart);
        nextStart = start + (long) (NANOS_PER_SECOND / settings.loadsPerSecond());
        return Duration.ofNanos(start - now);
    }

    private synchronized void begin(
            String model, boolean adapter, CompletableFuture<HttpResponse> answer) {
        loads.merge(model, 1, Integer::sum);
        ObjectNode done = Json.object();
        done.put("model", model);
        SharedSpeed pool = adapter ? adapters : models;
        pool.start(System.nanoTime(), () -> answer.complete(Json.answer(done)));
        highestInFlight = Math.max(highestInFlight, models.inFlight() + adapters.inFlight());
        advance(pool);
    }

    private synchronized void changeSpeed() {
        Fault fault = server.fault();
        double factor = fault.mode() == Fault.Mode.SLOW ? fault.factor() : 1;
        for (SharedSpeed pool : new SharedSpeed[] {models, adapters}) {
            pool.slow(System.nanoTime(), factor);
            advance(pool);
        }
    }

    private synchronized void advance(SharedSpeed pool) {
        long next = pool.run(System.nanoTime());
        if (next >= 0) {
            server.runtime().after(Duration.ofNanos(next), () -> advance(pool));
        }
    }
}
