package io.damaskyoke.lab.bench;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.Role;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Heartbeat;
import io.damaskyoke.peer.wire.Load;
import io.damaskyoke.settings.PeerSettings;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;

/**
 * Prints what one more of each thing takes of the heap, at three sizes each, and how large the
 * frames are that go out all the time. docs/CAPACITY.md quotes it.
 */
public final class Slopes {
    private static final int WARM_UP = 10;
    private static final int GC_ROUNDS = 4;
    private static final long GC_PAUSE_MILLIS = 50;
    private static final int TIMELINE_CAPACITY = 1_000_000;

    private Slopes() {}

    /** Prints the table; takes no arguments. */
    public static void main(String[] args) {
        System.out.printf(
                Locale.ROOT, "%-38s %8s %14s %12s%n", "what", "number", "heap bytes", "for each");
        heap("models and keys in the configuration", Samples::configuration, 1_000, 2_000, 4_000);
        heap("agents in a router's fleet", n -> Samples.fleet(n, 900), 600, 1_200, 2_400);
        heap("events on the time line", Slopes::timeline, 1_000, 2_000, 4_000);
        heap("open links, both ends", Slopes::links, 10, 20, 40);
        System.out.println();
        for (int loaded : new int[] {0, 8, 32}) {
            System.out.printf(
                    Locale.ROOT,
                    "heartbeat with %2d models loaded: %d bytes%n",
                    loaded,
                    heartbeat(loaded));
        }
    }

    private static void heap(String what, IntFunction<Object> make, int... numbers) {
        for (int number : numbers) {
            release(make.apply(Math.min(WARM_UP, number)));
            long before = used();
            Object held = make.apply(number);
            long bytes = used() - before;
            System.out.printf(
                    Locale.ROOT, "%-38s %8d %14d %12d%n", what, number, bytes, bytes / number);
            release(held);
        }
    }

    private static void release(Object held) {
        if (held instanceof Links links) {
            links.close();
        }
    }

    private static Timeline timeline(int events) {
        Timeline timeline =
                Timeline.of(
                        "router-1", HybridClock.over(InstantSource.system()), TIMELINE_CAPACITY);
        for (int i = 0; i < events; i++) {
            timeline.add(
                    EventType.REQUEST,
                    "router-1:6f1d3c9e-a2b4#" + i,
                    Map.of("workspace", "kitchens", "target", "model-" + i));
        }
        return timeline;
    }

    private static Links links(int number) {
        return new Links(number);
    }

    private static int heartbeat(int loaded) {
        Load.Builder load = Load.newBuilder().setRunning(4).setWaiting(1).setLimit(16);
        for (int i = 0; i < loaded; i++) {
            load.addLoaded("quartz-cut-sheet-" + i);
        }
        return Frame.newBuilder()
                .setSentAt(System.currentTimeMillis() << 16)
                .setHeartbeat(
                        Heartbeat.newBuilder()
                                .setConfigSequence(1_000_000)
                                .setConfirmed(true)
                                .setConfirmedAgeMs(900)
                                .setLoad(load))
                .build()
                .getSerializedSize();
    }

    private static long used() {
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
            sleep();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void sleep() {
        try {
            Thread.sleep(GC_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One network with a link to each of many others, all in this process. */
    private static final class Links implements AutoCloseable {
        private final PeerNetwork hub = network("hub");
        private final List<PeerNetwork> others = new ArrayList<>();

        Links(int number) {
            for (int i = 0; i < number; i++) {
                PeerNetwork other = network("agent-" + i);
                others.add(other);
                PeerAddress address =
                        new PeerAddress(VmId.of("agent-" + i), "127.0.0.1", other.port());
                hub.connect(address).toCompletableFuture().join();
            }
        }

        @Override
        public void close() {
            others.forEach(PeerNetwork::close);
            hub.close();
        }

        private static PeerNetwork network(String vm) {
            return PeerNetwork.builder()
                    .settings(
                            new PeerSettings(
                                    "127.0.0.1",
                                    0,
                                    2 << 20,
                                    256 << 10,
                                    Duration.ofSeconds(2),
                                    Duration.ofSeconds(10)))
                    .hello(
                            VmId.of(vm),
                            Incarnation.of(vm + ":1"),
                            AvailabilityZone.of("zone-1"),
                            Role.AGENT)
                    .timeline(Timeline.of(vm, HybridClock.over(InstantSource.system()), 100))
                    .metrics(new Metrics())
                    .build()
                    .start();
        }
    }
}
