package io.damaskyoke.agent;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.control.claims.KeyedOutcomes;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.wire.ClaimOutcome;
import io.damaskyoke.peer.wire.ClaimQuery;
import io.damaskyoke.peer.wire.Frame;
import java.util.Optional;

/** Answers routers that ask for the outcome of a request with an idempotency key. */
final class ClaimQueryResponder implements PeerListener {
    private final ControlThread control;
    private final KeyedOutcomes outcomes;

    ClaimQueryResponder(ControlThread control, KeyedOutcomes outcomes) {
        this.control = control;
        this.outcomes = outcomes;
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        if (frame.hasClaimQuery()) {
            control.run(() -> answer(link, frame));
        }
    }

    private void answer(PeerLink link, Frame frame) {
        ClaimQuery query = frame.getClaimQuery();
        ClaimOutcome.Builder outcome =
                ClaimOutcome.newBuilder()
                        .setWorkspace(query.getWorkspace())
                        .setIdempotencyKey(query.getIdempotencyKey());
        Optional<ClaimRecord> known =
                outcomes.find(
                        WorkspaceId.of(query.getWorkspace()),
                        new IdempotencyKey(query.getIdempotencyKey()));
        known.ifPresent(
                record ->
                        outcome.setState(record.state().name())
                                .setOutcome(
                                        com.google.protobuf.ByteString.copyFrom(record.toJson())));
        link.send(
                Frame.newBuilder()
                        .setExchange(frame.getExchange())
                        .setClaimOutcome(outcome)
                        .build());
    }
}
