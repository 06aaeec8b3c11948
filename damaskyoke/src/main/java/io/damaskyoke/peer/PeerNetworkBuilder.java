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

/** Collects what a {@link PeerNetwork} needs. */
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

    /** Where to listen, and the limits. All peers need the same greatest frame. */
    public PeerNetworkBuilder settings(PeerSettings given) {
        settings = Objects.requireNonNull(given, "settings");
        return this;
    }

    /** What this process says of itself. */
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

    /** Where peers' coming and going is noted; its hybrid clock goes along with the frames. */
    public PeerNetworkBuilder timeline(Timeline given) {
        timeline = Objects.requireNonNull(given, "timeline");
        return this;
    }

    /** The clock for back-off, and the one that peers' times are checked against. */
    public PeerNetworkBuilder clock(InstantSource given) {
        clock = Objects.requireNonNull(given, "clock");
        return this;
    }

    /** Where to count. */
    public PeerNetworkBuilder metrics(Metrics given) {
        metrics = Objects.requireNonNull(given, "metrics");
        return this;
    }

    /** What the heartbeats say; asked on a traffic thread, so it must not block. */
    public PeerNetworkBuilder heartbeat(Supplier<Heartbeat> given) {
        heartbeat = Objects.requireNonNull(given, "heartbeat");
        return this;
    }

    /** Where the jitter of the back-off comes from; must be thread-safe, as {@link Random} is. */
    public PeerNetworkBuilder random(RandomGenerator given) {
        random = Objects.requireNonNull(given, "random");
        return this;
    }

    /** Traffic threads of this network; 2 unless set. */
    public PeerNetworkBuilder threads(int given) {
        if (given < 1) {
            throw new IllegalArgumentException("threads must be at least 1: " + given);
        }
        threads = given;
        return this;
    }

    /**
     * Runs on threads that the process has already, which are left running when the network closes:
     * on a part of one core a thread of its own would cost two wake-ups for each frame.
     */
    public PeerNetworkBuilder on(EventLoopGroup given) {
        group = Objects.requireNonNull(given, "group");
        return this;
    }

    /** Adds a listener; may be called again. */
    public PeerNetworkBuilder listen(PeerListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
        return this;
    }

    /** The network, not yet listening. */
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
