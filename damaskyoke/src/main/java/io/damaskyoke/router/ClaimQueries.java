package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.claims.ClaimException;
import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.wire.ClaimOutcome;
import io.damaskyoke.peer.wire.ClaimQuery;
import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Frame;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Asks agents for the outcome that they know of an idempotency key. An agent that can't be reached
 * or doesn't answer in time counts as one that knows no outcome.
 */
final class ClaimQueries implements PeerListener {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

    private final ControlThread control;
    private final ConcurrentMap<ExchangeId, CompletableFuture<Optional<ClaimRecord>>> pending =
            new ConcurrentHashMap<>();

    ClaimQueries(ControlThread control) {
        this.control = control;
    }

    /** Returns the agent's record of the request's key, empty if it has none; never fails. */
    CompletionStage<Optional<ClaimRecord>> ask(CompletionStage<PeerLink> agent, Request request) {
        ExchangeId id =
                ExchangeId.newBuilder()
                        .setIncarnation(request.id().origin().value())
                        .setCounter(request.id().counter())
                        .build();
        CompletableFuture<Optional<ClaimRecord>> answer = new CompletableFuture<>();
        pending.put(id, answer);
        ControlThread.Cancellable timeout =
                control.after(ANSWER_TIMEOUT, () -> answer.complete(Optional.empty()));
        agent.whenComplete((link, failure) -> send(link, id, request, answer));
        answer.whenComplete(
                (outcome, failure) -> {
                    timeout.cancel();
                    pending.remove(id, answer);
                });
        return answer;
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        CompletableFuture<Optional<ClaimRecord>> answer =
                frame.hasClaimOutcome() ? pending.get(frame.getExchange()) : null;
        if (answer != null) {
            answer.complete(record(frame.getClaimOutcome()));
        }
    }

    private static void send(
            PeerLink link,
            ExchangeId id,
            Request request,
            CompletableFuture<Optional<ClaimRecord>> answer) {
        ClaimQuery query =
                ClaimQuery.newBuilder()
                        .setWorkspace(request.workspace().value())
                        .setIdempotencyKey(request.idempotencyKey().orElseThrow().value())
                        .build();
        Frame frame = Frame.newBuilder().setExchange(id).setClaimQuery(query).build();
        if (link == null || !link.send(frame)) {
            answer.complete(Optional.empty());
        }
    }

    private static Optional<ClaimRecord> record(ClaimOutcome outcome) {
        if (outcome.getOutcome().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(ClaimRecord.parse(outcome.getOutcome().toByteArray()));
        } catch (ClaimException e) {
            return Optional.empty();
        }
    }
}
