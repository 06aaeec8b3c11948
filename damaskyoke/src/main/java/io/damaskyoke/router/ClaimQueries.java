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
    // A request may ask several agents, one after the other, and each link is another one.
    private final ConcurrentMap<Query, CompletableFuture<Optional<ClaimRecord>>> pending =
            new ConcurrentHashMap<>();

    private record Query(ExchangeId request, PeerLink link) {}

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
        ControlThread.Cancellable timeout =
                control.after(ANSWER_TIMEOUT, () -> answer.complete(Optional.empty()));
        answer.whenComplete((outcome, failure) -> timeout.cancel());
        agent.whenComplete((link, failure) -> send(link, id, request, answer));
        return answer;
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        CompletableFuture<Optional<ClaimRecord>> answer =
                frame.hasClaimOutcome() ? pending.get(new Query(frame.getExchange(), link)) : null;
        if (answer != null) {
            answer.complete(record(frame.getClaimOutcome()));
        }
    }

    private void send(
            PeerLink link,
            ExchangeId id,
            Request request,
            CompletableFuture<Optional<ClaimRecord>> answer) {
        if (link == null) {
            answer.complete(Optional.empty());
            return;
        }
        Query asked = new Query(id, link);
        pending.put(asked, answer);
        answer.whenComplete((outcome, failure) -> pending.remove(asked, answer));
        ClaimQuery query =
                ClaimQuery.newBuilder()
                        .setWorkspace(request.workspace().value())
                        .setIdempotencyKey(request.idempotencyKey().orElseThrow().value())
                        .build();
        Frame frame = Frame.newBuilder().setExchange(id).setClaimQuery(query).build();
        if (!link.send(frame)) {
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
