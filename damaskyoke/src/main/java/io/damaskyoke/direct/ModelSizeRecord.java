package io.damaskyoke.direct;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.loads.ModelSize;
import io.damaskyoke.json.JsonTrees;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the largest sizes of models in the store. Upstreams keep a model at the size that it was
 * loaded at, and a router that has just started knows only the newest configuration: without the
 * record it would order an upstream beyond its memory after a configuration that makes models
 * smaller. It is written only where a size is larger than any before. Control thread only.
 */
final class ModelSizeRecord {
    private static final Logger LOG = LogManager.getLogger(ModelSizeRecord.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ControlThread control;
    private final KeyValueStore store;
    private final String key;
    private final Supplier<Optional<Entry>> entry;
    private boolean writing;

    private ModelSizeRecord(
            ControlThread control,
            KeyValueStore store,
            String key,
            Supplier<Optional<Entry>> entry) {
        this.control = control;
        this.store = store;
        this.key = key;
        this.entry = entry;
    }

    /** Creates the record that stands beside the list of routers. */
    static ModelSizeRecord of(ControlThread control, KeyValueStore store, Membership members) {
        return new ModelSizeRecord(control, store, members.modelSizesKey(), members::modelSizes);
    }

    /** Returns the recorded sizes, by service and model; none if the entry can't be read. */
    Map<String, Map<String, ModelSize>> sizes() {
        return entry.get().map(ModelSizeRecord::parse).orElse(Map.of());
    }

    /**
     * Writes the sizes if they differ from the recorded ones, and repeats it until they don't.
     *
     * @param sizes returns the sizes, or nothing if they are not this router's to write any more
     */
    void update(Supplier<Optional<Map<String, Map<String, ModelSize>>>> sizes) {
        Optional<Map<String, Map<String, ModelSize>>> wanted = sizes.get();
        if (writing || wanted.isEmpty() || wanted.get().equals(sizes())) {
            return;
        }
        writing = true;
        Condition condition =
                entry.get()
                        .<Condition>map(found -> new Condition.Unchanged(key, found.modRevision()))
                        .orElse(new Condition.Absent(key));
        store.commit(List.of(condition), List.of(new Write.Put(key, toJson(wanted.get()), 0)))
                .whenComplete((result, failure) -> control.run(() -> written(sizes)));
    }

    // Looks again once the entry, as written by this router or another one, has been read.
    private void written(Supplier<Optional<Map<String, Map<String, ModelSize>>>> sizes) {
        control.after(
                RETRY_AFTER,
                () -> {
                    writing = false;
                    update(sizes);
                });
    }

    private static byte[] toJson(Map<String, Map<String, ModelSize>> sizes) {
        ObjectNode root = JsonTrees.object();
        sizes.forEach(
                (service, models) -> {
                    ObjectNode node = root.putObject(service);
                    models.forEach(
                            (model, size) ->
                                    node.putArray(model)
                                            .add(size.weightsMb())
                                            .add(size.adapterMb()));
                });
        return JsonTrees.write(root);
    }

    private static Map<String, Map<String, ModelSize>> parse(Entry entry) {
        Map<String, Map<String, ModelSize>> sizes = new TreeMap<>();
        try {
            JsonNode root = JsonTrees.read(entry.value());
            root.fields()
                    .forEachRemaining(each -> sizes.put(each.getKey(), models(each.getValue())));
        } catch (IOException e) {
            LOG.error(
                    "the sizes of models under {} can't be read: {}", entry.key(), e.getMessage());
        }
        return sizes;
    }

    private static Map<String, ModelSize> models(JsonNode node) {
        Map<String, ModelSize> models = new TreeMap<>();
        node.fields()
                .forEachRemaining(
                        each -> {
                            JsonNode size = each.getValue();
                            double weights = size.path(0).asDouble();
                            models.put(
                                    each.getKey(), new ModelSize(weights, size.path(1).asDouble()));
                        });
        return models;
    }
}
