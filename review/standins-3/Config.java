import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The operator's config, which a test changes by new versions. */
final class Config {
    private final Store store;
    private final List<Object> routes = new ArrayList<>();
    private final List<Object> services = new ArrayList<>();
    private final Map<String, Double> models = new LinkedHashMap<>();
    private final double weightsMb;
    private final List<Object> tenants = new ArrayList<>();
    private long version = 6;

    Config(Store store, double weightsMb) {
        this.store = store;
        this.weightsMb = weightsMb;
    }

    synchronized void tenant(String name, String key) {
        tenants.add(
                Json.of(
                        "name", name, "api_keys", List.of(key), "priority", 1, "unit", "token_based",
                        "plain_tokens", 200, "rate_per_s", 200_000, "burst", 200_000));
    }

    @SuppressWarnings("unchecked")
    synchronized void removeTenant(String name) {
        tenants.removeIf(each -> ((Map<String, Object>) each).get("name").equals(name));
    }

    synchronized void model(String name, double mb) {
        models.put(name, mb);
    }

    double weightsMb() {
        return weightsMb;
    }

    /** Returns the size of a model by the newest version. */
    synchronized double sizeMb(String model) {
        return models.get(model);
    }

    synchronized void stream(String name, String prefix, String service) {
        routes.add(
                Json.of(
                        "name", name, "host", "shop.example", "path_prefix", prefix,
                        "route_kind", "streaming", "timeout_ms", 10_000, "slo_ms", 600,
                        "priority", 1, "service", service, "attempts", 1, "anonymous", false,
                        "sticky", true, "resumable", false, "gap_slo_ms", 250));
    }

    synchronized void plain(String name, String prefix, String service) {
        routes.add(
                Json.of(
                        "name", name, "host", "shop.example", "path_prefix", prefix,
                        "route_kind", "non_idempotent", "timeout_ms", 1_500, "slo_ms", 200,
                        "priority", 2, "service", service, "attempts", 1, "anonymous", false,
                        "sticky", false, "resumable", false));
    }

    synchronized void service(String name) {
        services.add(Json.of("name", name, "health_path", "/healthz", "max_conns", 110, "protocol", "h1", "tls", false));
    }

    /** Writes the next version; the store's answer acknowledges it. */
    synchronized long publish() {
        List<Object> specs = new ArrayList<>();
        models.forEach(
                (name, mb) ->
                        specs.add(
                                Json.of(
                                        "name", name, "weights_mb", mb, "load_s", 6.0, "adapters", 0,
                                        "adapter_mb", 40.0, "warm_s", 0.78, "disk_s", 1.0)));
        List<Object> all = new ArrayList<>(services);
        if (!models.isEmpty()) {
            all.add(
                    Json.of(
                            "name", "engines", "health_path", "/healthz", "max_conns", 630, "protocol", "h1", "tls", false,
                            "engine",
                            Json.of(
                                    "slots", 32, "kv_capacity_tokens", 90_000, "models", specs,
                                    "weights_mb", weightsMb, "adapter_slots", 8, "loads_per_s", 3.7)));
        }
        version += 3;
        Map<String, Object> config =
                Json.of(
                        "version", version,
                        "routes", routes,
                        "services", all,
                        "limits", Json.of("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 3_000, "idle_timeout_ms", 15_000),
                        "tenants", tenants);
        store.put("op/config", Json.write(config));
        List<Object> names = new ArrayList<>();
        tenants.forEach(each -> names.add(((Map<?, ?>) each).get("name")));
        Record.line("config version %d is acknowledged: tenants %s, models %s", version, names, models);
        return version;
    }
}
