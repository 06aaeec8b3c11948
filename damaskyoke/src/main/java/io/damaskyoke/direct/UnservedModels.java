package io.damaskyoke.direct;

import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.upstreams.ModelRef;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts for each model and adapter the requests in a row that found no upstream: {@code
 * models.refused(model)}. On-call engineers see a model that is never served before its callers
 * tell. Belongs to the traffic thread.
 */
final class UnservedModels {
    private static final Logger LOG = LogManager.getLogger(UnservedModels.class);

    /** One or two in a row may come while a model is on its way. */
    private static final int MANY = 4;

    /** Callers may ask for any name; those asked for longest ago are forgotten. */
    private static final int MOST_COUNTED = 4_096;

    private final Map<ModelRef, Integer> inVain = new LruMap<>(MOST_COUNTED);

    /** A request for it has waited in vain. */
    void refused(ModelRef model) {
        int count = inVain.merge(model, 1, Integer::sum);
        if (count == MANY) {
            LOG.info("{} requests in a row for {} found no upstream", count, model);
        }
    }

    /** A request for it was answered. */
    void served(ModelRef model) {
        inVain.remove(model);
    }

    /** How many models and adapters were asked for many times in a row in vain. */
    long many() {
        return inVain.values().stream().filter(count -> count >= MANY).count();
    }
}
