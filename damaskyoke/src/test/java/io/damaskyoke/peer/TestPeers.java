package io.damaskyoke.peer;

import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.settings.PeerSettings;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.util.ByteString;

/** Fixtures for the tests of the peer package. */
final class TestPeers {
    static final int CREDIT = 64 * 1024;
    static final int MAX_FRAME = 256 * 1024;

    private TestPeers() {}

    static PeerSettings settings(int port, Duration silence) {
        return new PeerSettings(
                "127.0.0.1", port, MAX_FRAME, CREDIT, Duration.ofMillis(100), silence);
    }

    static PeerNetworkBuilder network(String vm, Metrics metrics, Duration silence) {
        return network(vm, vm + ":1", 0, metrics, silence);
    }

    static PeerNetworkBuilder network(
            String vm, String incarnation, int port, Metrics metrics, Duration silence) {
        HybridClock clock = HybridClock.over(InstantSource.system());
        return PeerNetwork.builder()
                .settings(settings(port, silence))
                .hello(
                        VmId.of(vm),
                        Incarnation.of(incarnation),
                        AvailabilityZone.of("kochi-1"),
                        Role.AGENT)
                .timeline(Timeline.of(vm, clock, 100))
                .metrics(metrics)
                .random(new Random(7));
    }

    static PeerAddress address(String vm, int port) {
        return new PeerAddress(VmId.of(vm), "127.0.0.1", port);
    }

    static Request request(long counter, Header... headers) {
        return new Request(
                new ExchangeId(Incarnation.of("router-1:1"), counter),
                WorkspaceId.of("kitchens"),
                KeyId.of("planted-key-id"),
                new Target.Service(ServiceName.of("payments")),
                "POST",
                "/pay",
                List.of(headers),
                ByteString.fromString("{}"),
                Instant.EPOCH,
                Optional.empty(),
                false,
                9);
    }

    static long count(Metrics metrics, String name) {
        return metrics.counter(name).getCount();
    }

    static <T> T get(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
