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
 * Accounts for an engine's memory.
 *
 * <p>Memory is counted from before a load is ordered until the engine confirms that it is free. A
 * report can add to the account at any time. It removes only replicas in the UNKNOWN phase, and
 * only if it is younger than that phase: an old report, or one that understates the use, would
 * otherwise let a load start for which the engine has no memory, and it would fail for every
 * request on the VM.
 */
final class ReplicaTable {
    private static final int MAX_MISSING_REPORTS = 3;

    private final ReplicaSettings settings;
    private final TreeMap<ModelName, Replica> replicas = new TreeMap<>();
    private final TreeMap<ModelName, Instant> freedAt = new TreeMap<>();
    private long totalBytes;
    private long unlistedBytes;
    private Instant startedAt;
    private boolean complete;

    ReplicaTable(ReplicaSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns true once a report has been received that is younger than this process. The previous
     * process may have ordered a load just before it crashed; an older report does not show it, and
     * the memory would seem free. After an unload, an older report would show a model that is no
     * longer there, and requests would be sent to it. Until then everything that is listed is
     * counted but not used.
     */
    boolean isComplete() {
        return complete;
    }

    void recordStart(Instant now) {
        if (startedAt == null) {
            startedAt = now;
        }
    }

    Replica get(ModelName name) {
        return replicas.get(name);
    }

    Collection<Replica> all() {
        return replicas.values();
    }

    long capacityBytes() {
        return totalBytes - unlistedBytes;
    }

    long freeBytes() {
        return capacityBytes()
                - replicas.values().stream().mapToLong(replica -> replica.bytes).sum();
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

    boolean hasAdapters(ModelName base) {
        return replicas.values().stream()
                .anyMatch(replica -> replica.base.equals(Optional.of(base)));
    }

    /** Reserves the memory for a load that is about to be ordered. */
    void reserve(Model model, Instant now) {
        Replica replica = new Replica(model.name(), Phase.LOADING, now, model.memoryBytes());
        replica.version = Optional.of(model.version());
        replica.base = model.base();
        replica.baseKnown = true;
        replicas.put(model.name(), replica);
        freedAt.remove(model.name());
    }

    /** Sets the bases of adapters that were reported before the models were configured. */
    void setBases(Map<ModelName, Model> models) {
        replicas.values().forEach(replica -> learnBase(replica, models));
    }

    private static void learnBase(Replica replica, Map<ModelName, Model> models) {
        Model model = models.get(replica.name);
        if (!replica.baseKnown && model != null) {
            replica.base = model.base();
            replica.baseKnown = true;
        }
    }

    /** Frees the memory: the engine confirmed that it is free. */
    void free(ModelName name, Instant now) {
        replicas.remove(name);
        freedAt.put(name, now);
    }

    /**
     * Keeps counting a replica of which it is unknown whether the engine holds it. Only a report
     * settles it: a precautionary unload may overtake a load that is still running, and free memory
     * that is then used.
     */
    void markUnknown(Replica replica, Instant now) {
        replica.enter(Phase.UNKNOWN, now);
    }

    /** Applies a report, given the configured models. */
    void applyReport(Engine.Report report, Map<ModelName, Model> models, Instant now) {
        totalBytes = report.memoryBytes();
        complete |= isAfterLag(startedAt, now);
        freedAt.values().removeIf(at -> isAfterLag(at, now));
        Map<ModelName, Engine.Held> loaded = byName(report.loaded());
        Map<ModelName, Engine.Held> loading = byName(report.loading());
        unlistedBytes = Math.max(0, report.memoryUsedBytes() - sum(loaded) - sum(loading));
        adopt(loaded, complete ? Phase.LOADED : Phase.UNKNOWN, models, now);
        adopt(loading, Phase.UNKNOWN, models, now);
        for (Replica replica : replicas.values().toArray(new Replica[0])) {
            reconcile(replica, loaded.get(replica.name), loading.get(replica.name), now);
        }
    }

    /**
     * Counts models that the engine holds and that were unknown here, except those that were just
     * unloaded.
     */
    private void adopt(
            Map<ModelName, Engine.Held> held,
            Phase phase,
            Map<ModelName, Model> models,
            Instant now) {
        for (Engine.Held each : held.values()) {
            Replica replica = replicas.get(each.model());
            if (replica == null && !freedAt.containsKey(each.model())) {
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

    /**
     * Models in the first reports count as held since this process started, so that a report
     * younger than this process settles them.
     */
    private Instant adoptedAt(Instant now) {
        return complete ? now : startedAt;
    }

    private void reconcile(Replica replica, Engine.Held loaded, Engine.Held loading, Instant now) {
        if (!isAfterLag(replica.phaseSince, now)) {
            return;
        }
        if (replica.phase == Phase.LOADED) {
            replica.missingReports = loaded == null ? replica.missingReports + 1 : 0;
        } else if (replica.phase == Phase.UNKNOWN && loaded != null) {
            replica.enter(Phase.LOADED, now);
            replica.version = loaded.version();
        } else if (replica.phase == Phase.UNKNOWN && loading == null) {
            free(replica.name, now);
        }
    }

    /**
     * Returns true if the engine no longer lists a replica that it confirmed. It may have been
     * restarted, or the report is wrong. The replica serves no more requests, and only a confirmed
     * unload frees its memory.
     */
    static boolean isLost(Replica replica) {
        return replica.missingReports >= MAX_MISSING_REPORTS;
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
