package io.damaskyoke.direct;

import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.upstreams.ModelRef;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts the consecutive requests for each model and adapter that found no upstream: {@code
 * models.recordUnserved(model)}. On-call engineers thus notice a model that is never served before
 * its callers complain. Traffic thread only.
 */
final class UnservedModels {
    private static final Logger LOG = LogManager.getLogger(UnservedModels.class);

    /**
     * Consecutive requests from which a model counts as unserved; one or two may fail during a
     * load.
     */
    private static final int UNSERVED_THRESHOLD = 4;

    /** Limits the memory, as callers may request any name; the least recently used is dropped. */
    private static final int MAX_MODELS = 4_096;

    private final Map<ModelRef, Integer> consecutiveMisses = new LruMap<>(MAX_MODELS);

    /** Records that a request for the model found no upstream in time. */
    void recordUnserved(ModelRef model) {
        int count = consecutiveMisses.merge(model, 1, Integer::sum);
        if (count == UNSERVED_THRESHOLD) {
            LOG.info("{} consecutive requests for model {} found no upstream", count, model);
        }
    }

    /** Records that a request for the model was answered. */
    void recordServed(ModelRef model) {
        consecutiveMisses.remove(model);
    }

    /** Returns how many models and adapters are currently unserved. */
    long unservedCount() {
        return consecutiveMisses.values().stream()
                .filter(count -> count >= UNSERVED_THRESHOLD)
                .count();
    }
}
