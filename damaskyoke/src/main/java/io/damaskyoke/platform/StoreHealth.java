package io.damaskyoke.platform;

import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Counts the store's calls, and says once when it goes away and once when it is back. */
final class StoreHealth {
    private static final Logger LOG = LogManager.getLogger(EtcdStore.class);
    private static final String SUBJECT = "store";

    private final Metrics metrics;
    private final Timeline timeline;
    private final AtomicBoolean up = new AtomicBoolean(true);

    StoreHealth(Metrics metrics, Timeline timeline) {
        this.metrics = metrics;
        this.timeline = timeline;
    }

    void called(String op) {
        metrics.count("store_calls", "op", op);
    }

    boolean up() {
        return up.get();
    }

    void answered() {
        if (up.compareAndSet(false, true)) {
            timeline.add(EventType.STORE_UP, SUBJECT);
            LOG.info("the key-value service answers again");
        }
    }

    void failed(String op, PlatformException cause) {
        metrics.count("store_failures", "op", op);
        if (up.compareAndSet(true, false)) {
            timeline.add(
                    EventType.STORE_DOWN, SUBJECT, Map.of("op", op, "cause", cause.getMessage()));
            LOG.warn("the key-value service does not answer: {}", cause.getMessage());
        }
    }
}
