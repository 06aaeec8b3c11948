package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.replicas.Replica.Phase;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.upstream.Engine;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The account of an engine's memory.
 *
 * <p>Memory counts from before the order until the engine confirms that it is free. A report can
 * add to the account at any time. It takes away only what is in doubt, and only once it is younger
 * than the doubt: an old report, or one that lies low, would otherwise let a load in where the
 * engine has no room, and it would fail for everybody on the VM.
 */
final class ReplicaTable {
    private static final int MISSING_LIMIT = 3;

    private final ReplicaSettings settings;
    private final TreeMap<ModelName, Replica> replicas = new TreeMap<>();
    private final TreeMap<ModelName, Instant> freed = new TreeMap<>();
    private long capacity;
    private long unlisted;
    private Instant started;
    private boolean complete;

    ReplicaTable(ReplicaSettings settings) {
        this.settings = settings;
    }

    /**
     * True once a report has come that is younger than this process. The one before us may have
     * ordered a load just before it died; an older report doesn't show it, and the memory would
     * seem free. After an unload it would show a model that is no longer there, and requests would
     * be sent to it. Until then all that is listed counts, and serves nobody.
     */
    boolean complete() {
        return complete;
    }

    void startedBy(Instant now) {
        if (started == null) {
            started = now;
        }
    }

    Replica get(ModelName name) {
        return replicas.get(name);
    }

    Collection<Replica> all() {
        return replicas.values();
    }

    long capacity() {
        return capacity - unlisted;
    }

    long free() {
        return capacity() - replicas.values().stream().mapToLong(replica -> replica.bytes).sum();
    }

    long bytesIn(Phase phase) {
        return replicas.values().stream()
                .filter(replica -> replica.phase == phase)
                .mapToLong(replica -> replica.bytes)
                .sum();
    }

    long count(Phase phase) {
        return replicas.values().stream().filter(replica -> replica.phase == phase).count();
    }

    boolean carriesAdapters(ModelName base) {
        return replicas.values().stream()
                .anyMatch(replica -> replica.base.equals(Optional.of(base)));
    }

    /** Takes the memory for a load that is about to be ordered. */
    void reserve(Model model, Instant now) {
        Replica replica = new Replica(model.name(), Phase.LOADING, now, model.memoryBytes());
        replica.version = Optional.of(model.version());
        replica.base = model.base();
        replica.baseKnown = true;
        replicas.put(model.name(), replica);
        freed.remove(model.name());
    }

    /** Learns the bases of adapters that were reported before the models were known. */
    void configured(Map<ModelName, Model> models) {
        replicas.values().forEach(replica -> learnBase(replica, models));
    }

    private static void learnBase(Replica replica, Map<ModelName, Model> models) {
        Model model = models.get(replica.name);
        if (!replica.baseKnown && model != null) {
            replica.base = model.base();
            replica.baseKnown = true;
        }
    }

    /** Gives the memory back: the engine said that it is free. */
    void free(ModelName name, Instant now) {
        replicas.remove(name);
        freed.put(name, now);
    }

    /**
     * Keeps counting a replica of which nobody knows whether the engine holds it. Only a report
     * settles it: an unload to make sure may overtake a load that still runs, and free what then
     * comes to be held.
     */
    void doubt(Replica replica, Instant now) {
        replica.enter(Phase.UNKNOWN, now);
    }

    /** Takes in a report, given the models in force. */
    void report(Engine.Report report, Map<ModelName, Model> models, Instant now) {
        capacity = report.memoryBytes();
        complete |= isAfterLag(started, now);
        freed.values().removeIf(at -> isAfterLag(at, now));
        Map<ModelName, Engine.Held> loaded = byName(report.loaded());
        Map<ModelName, Engine.Held> loading = byName(report.loading());
        unlisted = Math.max(0, report.memoryUsedBytes() - sum(loaded) - sum(loading));
        adopt(loaded, complete ? Phase.LOADED : Phase.UNKNOWN, models, now);
        adopt(loading, Phase.UNKNOWN, models, now);
        for (Replica replica : replicas.values().toArray(new Replica[0])) {
            compare(replica, loaded.get(replica.name), loading.get(replica.name), now);
        }
    }

    /** Counts what the engine holds and we didn't know of, but for what it has just let go. */
    private void adopt(
            Map<ModelName, Engine.Held> held,
            Phase phase,
            Map<ModelName, Model> models,
            Instant now) {
        for (Engine.Held each : held.values()) {
            Replica replica = replicas.get(each.model());
            if (replica == null && !freed.containsKey(each.model())) {
                replica = new Replica(each.model(), phase, adoptedAt(now), each.memoryBytes());
                replica.version = each.version();
                learnBase(replica, models);
                replicas.put(each.model(), replica);
            }
            if (replica != null) {
                replica.bytes = Math.max(replica.bytes, each.memoryBytes());
            }
        }
    }

    /** What the first reports list stands as long as this process, so a young one settles it. */
    private Instant adoptedAt(Instant now) {
        return complete ? now : started;
    }

    private void compare(Replica replica, Engine.Held loaded, Engine.Held loading, Instant now) {
        if (!isAfterLag(replica.since, now)) {
            return;
        }
        if (replica.phase == Phase.LOADED) {
            replica.missing = loaded == null ? replica.missing + 1 : 0;
        } else if (replica.phase == Phase.UNKNOWN && loaded != null) {
            replica.enter(Phase.LOADED, now);
            replica.version = loaded.version();
        } else if (replica.phase == Phase.UNKNOWN && loading == null) {
            free(replica.name, now);
        }
    }

    /**
     * True if the engine no longer lists what it confirmed. It may have been restarted, or the
     * report is wrong. The replica serves no more, and only a confirmed unload frees its memory.
     */
    static boolean lost(Replica replica) {
        return replica.missing >= MISSING_LIMIT;
    }

    private boolean isAfterLag(Instant event, Instant now) {
        return Duration.between(event, now).compareTo(settings.reportLag()) > 0;
    }

    private static Map<ModelName, Engine.Held> byName(Collection<Engine.Held> held) {
        Map<ModelName, Engine.Held> named = new TreeMap<>();
        held.forEach(each -> named.put(each.model(), each));
        return named;
    }

    private static long sum(Map<ModelName, Engine.Held> held) {
        return held.values().stream().mapToLong(Engine.Held::memoryBytes).sum();
    }
}
