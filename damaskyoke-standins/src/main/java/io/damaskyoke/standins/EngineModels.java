package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/** The models of one engine: what is loaded, what is loading, and the memory they hold. */
final class EngineModels {
    private static final String ADAPTER = "adapter";
    private static final String ORDER_OF_ROLE = "role order";
    private static final int MAX_SPANS = 5000;

    private final EngineSettings settings;
    private final InstantSource clock;
    private final Map<String, Model> models = new LinkedHashMap<>();
    private final Map<String, Long> fencing = new TreeMap<>();
    private final Map<String, Integer> loads = new TreeMap<>();
    private final Map<String, Integer> highestReplicas = new TreeMap<>();
    private final Set<String> onDisk = new TreeSet<>();
    private final ArrayDeque<ObjectNode> spans = new ArrayDeque<>();
    private long memoryUsed;
    private long highestMemoryUsed;
    private int overcommitted;
    private int staleOrders;
    private String role = "";

    /** An order to load; {@code base} is null but for an adapter. */
    record LoadOrder(String model, String version, String kind, String base, long memoryBytes) {
        boolean isAdapter() {
            return kind.equals(ADAPTER);
        }

        static LoadOrder fromJson(JsonNode node) {
            String kind = node.path("kind").asText("model");
            boolean adapter = kind.equals(ADAPTER);
            long memory = node.path("memory_bytes").asLong(-1);
            if (memory < 0 || !adapter && !kind.equals("model")) {
                throw StandInException.openAi(
                        400, "bad_order", "A load needs memory_bytes, and kind model or adapter");
            }
            String base = adapter ? Json.text(node, "base") : null;
            String version = node.path("version").asText("");
            return new LoadOrder(Json.text(node, "model"), version, kind, base, memory);
        }
    }

    private static final class Model {
        private final LoadOrder order;
        private final CompletableFuture<Void> loaded = new CompletableFuture<>();
        private ObjectNode span;
        private boolean ready;

        Model(LoadOrder order) {
            this.order = order;
        }

        boolean isLoaded() {
            return ready;
        }
    }

    EngineModels(EngineSettings settings, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
        onDisk.addAll(settings.cachedOnDisk());
    }

    /** Refuses an order whose number is older than one seen for the same model. */
    synchronized void checkFencing(String subject, JsonNode order) {
        if (settings.ignoreFencing()) {
            return;
        }
        JsonNode number = order.path("fencing");
        if (!number.canConvertToLong()) {
            throw StandInException.openAi(400, "no_fencing", "The order needs a fencing number");
        }
        long seen = fencing.getOrDefault(subject, Long.MIN_VALUE);
        if (number.longValue() < seen) {
            staleOrders++;
            throw StandInException.openAi(
                    409, "stale_fencing", "A newer fencing number was seen: " + seen);
        }
        fencing.put(subject, number.longValue());
    }

    /** Reserves the memory; gives false if the model is loaded or loading already. */
    synchronized boolean begin(LoadOrder order) {
        if (models.containsKey(order.model())) {
            return false;
        }
        if (order.isAdapter() && !isLoaded(order.base())) {
            throw StandInException.openAi(
                    409, "base_not_loaded", "The base is not loaded: " + order.base());
        }
        if (order.memoryBytes() > settings.memoryBytes() - memoryUsed) {
            if (!settings.allowOvercommit()) {
                throw StandInException.openAi(507, "out_of_memory", "Not enough memory left");
            }
            overcommitted++;
        }
        memoryUsed += order.memoryBytes();
        highestMemoryUsed = Math.max(highestMemoryUsed, memoryUsed);
        Model model = new Model(order);
        model.span = span(order.model());
        models.put(order.model(), model);
        loads.merge(order.model(), 1, Integer::sum);
        highestReplicas.merge(order.model(), 1, Math::max);
        return true;
    }

    /** Completes when the load that is under way has ended. */
    synchronized CompletableFuture<Void> loaded(String name) {
        return models.get(name).loaded;
    }

    /** Records that a load has ended well; its caller completes the returned future. */
    synchronized CompletableFuture<Void> end(String name) {
        onDisk.add(name);
        Model model = models.get(name);
        model.ready = true;
        return model.loaded;
    }

    /** Records that a load has failed; its caller completes the returned future with the error. */
    synchronized CompletableFuture<Void> fail(String name) {
        CompletableFuture<Void> loaded = models.get(name).loaded;
        remove(name);
        return loaded;
    }

    /** Unloads a model at once; one that isn't here is fine, one that is loading isn't. */
    synchronized void unload(String name) {
        Model model = models.get(name);
        if (model == null) {
            return;
        }
        if (!model.isLoaded()) {
            throw StandInException.openAi(409, "loading", "The model is still loading: " + name);
        }
        boolean needed = models.values().stream().anyMatch(m -> name.equals(m.order.base()));
        if (needed) {
            throw StandInException.openAi(409, "has_adapters", "Adapters need the base: " + name);
        }
        remove(name);
    }

    synchronized void setRole(JsonNode order) {
        checkFencing(ORDER_OF_ROLE, order);
        role = Json.text(order, "role");
    }

    synchronized boolean isLoaded(String name) {
        Model model = models.get(name);
        return model != null && model.isLoaded();
    }

    synchronized boolean isOnDisk(String name) {
        return onDisk.contains(name);
    }

    /** The load report, but for the requests. */
    synchronized ObjectNode report() {
        ObjectNode node = Json.object();
        node.put("memory_bytes", settings.memoryBytes());
        node.put("memory_used_bytes", memoryUsed);
        node.put("role", role);
        ArrayNode loaded = node.putArray("loaded");
        ArrayNode loading = node.putArray("loading");
        for (Model model : models.values()) {
            ObjectNode entry = model.isLoaded() ? loaded.addObject() : loading.addObject();
            entry.put("model", model.order.model());
            entry.put("kind", model.order.kind());
            entry.put("version", model.order.version());
            entry.put("memory_bytes", model.order.memoryBytes());
        }
        node.set("cached_on_disk", Json.tree(onDisk));
        return node;
    }

    /** The list of models as the OpenAI API gives it. */
    synchronized ObjectNode list() {
        ObjectNode node = Json.object();
        node.put("object", "list");
        ArrayNode data = node.putArray("data");
        for (Model model : models.values()) {
            if (model.isLoaded()) {
                ObjectNode entry = data.addObject();
                entry.put("id", model.order.model());
                entry.put("object", "model");
                entry.put("created", 0);
                entry.put("owned_by", "damaskyoke");
            }
        }
        return node;
    }

    /** What happened since the start; the spans tell when each model held memory, and till when. */
    synchronized ObjectNode counts() {
        ObjectNode node = Json.object();
        node.set("loads", Json.tree(loads));
        node.set("highest_replicas", Json.tree(highestReplicas));
        node.put("highest_memory_used_bytes", highestMemoryUsed);
        node.put("memory_overcommitted", overcommitted);
        node.put("stale_orders", staleOrders);
        ArrayNode held = node.putArray("spans");
        spans.forEach(span -> held.add(span.deepCopy()));
        return node;
    }

    private ObjectNode span(String name) {
        ObjectNode span = Json.object();
        span.put("model", name);
        span.put("from", clock.instant().toString());
        span.putNull("until");
        spans.add(span);
        if (spans.size() > MAX_SPANS) {
            spans.removeFirst();
        }
        return span;
    }

    private void remove(String name) {
        Model model = models.remove(name);
        memoryUsed -= model.order.memoryBytes();
        model.span.put("until", clock.instant().toString());
    }
}
