package io.damaskyoke.router;

import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.control.claims.ClaimSettings;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.wire.ClaimOutcome;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.util.ByteString;

/** The claims of one incarnation of a router, over a fake store and agents to query. */
final class ClaimRouter {
    private final SimulatedProcess process;
    private final Incarnation incarnation;
    private final ClaimQueries queries;
    private final Claims claims;
    private long counter;

    /** An agent that answers claim queries. */
    interface QueriedAgent {
        Optional<ClaimRecord> find(Request request);
    }

    private ClaimRouter(
            SimulatedProcess process, KeyValueStore store, Incarnation incarnation, long seed) {
        this.process = process;
        this.incarnation = incarnation;
        this.queries = new ClaimQueries(process);
        Metrics metrics = new Metrics();
        ClaimSettings settings = ClaimSettings.defaults();
        this.claims =
                new Claims(
                        process,
                        new ClaimStore(process, store, metrics, settings, new Random(seed)),
                        queries,
                        metrics,
                        Timeline.of("router", HybridClock.over(process.clock()), 100),
                        "/test",
                        settings,
                        null);
    }

    static ClaimRouter start(
            SimulatedProcess process, KeyValueStore store, String name, long seed) {
        return new ClaimRouter(process, store, Incarnation.of(name), seed);
    }

    SimulatedProcess process() {
        return process;
    }

    Claims claims() {
        return claims;
    }

    Request request(String key, Instant deadline) {
        return new Request(
                new ExchangeId(incarnation, ++counter),
                WorkspaceId.of("leases"),
                KeyId.of("leases-1"),
                new Target.Service(ServiceName.of("payments")),
                "POST",
                "/pay",
                List.of(),
                ByteString.fromString("amount of " + key),
                deadline,
                Optional.of(new IdempotencyKey(key)),
                false,
                1);
    }

    CompletionStage<ClaimResult> claim(
            HeldClaim held,
            Request request,
            VmId vm,
            Map<VmId, ? extends ClaimRouter.QueriedAgent> agents) {
        Function<VmId, CompletionStage<PeerLink>> connect = connect(request, agents);
        return held == null
                ? claims.claim(request, vm, connect)
                : claims.move(held, request, vm, connect);
    }

    CompletionStage<ClaimResult> lookUp(
            Request request, Map<VmId, ? extends ClaimRouter.QueriedAgent> agents) {
        return claims.lookUp(request, connect(request, agents));
    }

    private Function<VmId, CompletionStage<PeerLink>> connect(
            Request request, Map<VmId, ? extends ClaimRouter.QueriedAgent> agents) {
        return asked -> CompletableFuture.completedFuture(new Link(agents.get(asked), request));
    }

    /** A link whose agent answers each claim query at once. */
    private final class Link implements PeerLink {
        private final ClaimRouter.QueriedAgent agent;
        private final Request request;

        Link(ClaimRouter.QueriedAgent agent, Request request) {
            this.agent = agent;
            this.request = request;
        }

        @Override
        public Optional<Hello> remote() {
            return Optional.empty();
        }

        @Override
        public boolean send(Frame frame) {
            ClaimOutcome.Builder outcome = ClaimOutcome.newBuilder();
            agent.find(request)
                    .ifPresent(
                            record ->
                                    outcome.setOutcome(
                                            com.google.protobuf.ByteString.copyFrom(
                                                    record.toJson())));
            queries.received(
                    this,
                    Frame.newBuilder()
                            .setExchange(frame.getExchange())
                            .setClaimOutcome(outcome)
                            .build());
            return true;
        }

        @Override
        public boolean open() {
            return true;
        }

        @Override
        public boolean writable() {
            return true;
        }
    }
}
