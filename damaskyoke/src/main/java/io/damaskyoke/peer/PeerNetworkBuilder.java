package io.damaskyoke.peer;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Heartbeat;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.settings.PeerSettings;
import io.damaskyoke.timeline.Timeline;
import io.netty.channel.EventLoopGroup;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Builds a {@link PeerNetwork}. */
public final class PeerNetworkBuilder {
    PeerSettings settings;
    Timeline timeline;
    InstantSource clock = InstantSource.system();
    Metrics metrics = new Metrics();
    Supplier<Heartbeat> heartbeat = Heartbeat::getDefaultInstance;
    RandomGenerator random = new Random();
    int threads = 2;
    EventLoopGroup group;
    final List<PeerListener> listeners = new ArrayList<>();
    private Hello hello;

    PeerNetworkBuilder() {}

    /** Sets the listening address and the limits. All peers need the same maximum frame size. */
    public PeerNetworkBuilder settings(PeerSettings given) {
        settings = Objects.requireNonNull(given, "settings");
        return this;
    }

    /** Sets the identity of this process, which its hello frame carries. */
    public PeerNetworkBuilder hello(
            VmId vm, Incarnation incarnation, AvailabilityZone zone, Role role) {
        hello =
                Hello.newBuilder()
                        .setVersion(Handshake.VERSION)
                        .setVm(vm.value())
                        .setIncarnation(incarnation.value())
                        .setAvailabilityZone(zone.value())
                        .setRole(role.wireName())
                        .build();
        return this;
    }

    /** Sets the timeline that records opened and closed links; its clock stamps the frames. */
    public PeerNetworkBuilder timeline(Timeline given) {
        timeline = Objects.requireNonNull(given, "timeline");
        return this;
    }

    /** Sets the clock used for backoff and for checking the times of peers. */
    public PeerNetworkBuilder clock(InstantSource given) {
        clock = Objects.requireNonNull(given, "clock");
        return this;
    }

    /** Sets the metrics registry. */
    public PeerNetworkBuilder metrics(Metrics given) {
        metrics = Objects.requireNonNull(given, "metrics");
        return this;
    }

    /** Sets the supplier of heartbeats; it is called on a network thread and must not block. */
    public PeerNetworkBuilder heartbeat(Supplier<Heartbeat> given) {
        heartbeat = Objects.requireNonNull(given, "heartbeat");
        return this;
    }

    /** Sets the source of the backoff jitter; it must be thread-safe, as {@link Random} is. */
    public PeerNetworkBuilder random(RandomGenerator given) {
        random = Objects.requireNonNull(given, "random");
        return this;
    }

    /** Sets the number of network threads; 2 by default. */
    public PeerNetworkBuilder threads(int given) {
        if (given < 1) {
            throw new IllegalArgumentException("threads must be at least 1: " + given);
        }
        threads = given;
        return this;
    }

    /**
     * Uses the event loops of the given group, which are left running when the network closes. On a
     * fraction of a core, a thread of its own would cost two wake-ups for each frame.
     */
    public PeerNetworkBuilder eventLoops(EventLoopGroup given) {
        group = Objects.requireNonNull(given, "group");
        return this;
    }

    /** Adds a listener; may be called again. */
    public PeerNetworkBuilder addListener(PeerListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
        return this;
    }

    /** Returns the network, which is not yet listening. */
    public PeerNetwork build() {
        Objects.requireNonNull(settings, "settings must be given");
        Objects.requireNonNull(hello, "hello must be given");
        Objects.requireNonNull(timeline, "timeline must be given");
        return new PeerNetwork(this);
    }

    Frame helloFrame() {
        return Frame.newBuilder().setHello(hello).build();
    }
}
