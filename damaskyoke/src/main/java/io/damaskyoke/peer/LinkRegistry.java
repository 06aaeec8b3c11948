package io.damaskyoke.peer;

import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Tracks the open links and notifies the listeners; a listener that throws affects no other. */
final class LinkRegistry {
    private static final Logger LOG = LogManager.getLogger(LinkRegistry.class);

    private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
    private final Set<PeerLink> open = ConcurrentHashMap.newKeySet();
    private final Timeline timeline;
    private final Metrics metrics;

    LinkRegistry(Timeline timeline, Metrics metrics) {
        this.timeline = timeline;
        this.metrics = metrics;
    }

    void add(PeerListener listener) {
        listeners.add(listener);
    }

    List<PeerLink> open() {
        return List.copyOf(open);
    }

    void opened(PeerLink link) {
        open.add(link);
        link.remote().ifPresent(hello -> record(EventType.PEER_UP, hello));
        notifyEach(listener -> listener.opened(link));
    }

    void received(PeerLink link, Frame frame) {
        notifyEach(listener -> listener.received(link, frame));
    }

    void closed(PeerLink link) {
        open.remove(link);
        link.remote().ifPresent(hello -> record(EventType.PEER_DOWN, hello));
        notifyEach(listener -> listener.closed(link));
    }

    void rejected(Rejection reason) {
        metrics.count("peer_rejected", "reason", reason.label());
    }

    void count(String name) {
        metrics.count(name);
    }

    private void record(EventType type, Hello hello) {
        timeline.add(type, hello.getVm(), Map.of("incarnation", hello.getIncarnation()));
    }

    private void notifyEach(Consumer<PeerListener> call) {
        for (PeerListener listener : listeners) {
            try {
                call.accept(listener);
            } catch (RuntimeException e) {
                metrics.count("peer_listener_failed");
                LOG.error("peer listener failed, continuing with the next listener", e);
            }
        }
    }
}
