package io.damaskyoke.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.wire.ClaimOutcome;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Test;

class ClaimQueriesTest {
    private final TestControlThread control = new TestControlThread();
    private final ClaimQueries queries = new ClaimQueries(control);

    // Guards against an agent that counts as one that knows no outcome, as the late answer of
    // another agent to the same request is taken for its answer.
    @Test
    void aLateAnswerOfOneAgentIsNotTakenForThatOfTheNext() {
        SentFrame slow = new SentFrame();
        SentFrame next = new SentFrame();
        var first = queries.ask(CompletableFuture.completedFuture(slow), request());
        control.advance(Duration.ofSeconds(2));
        assertTrue(first.toCompletableFuture().isDone());
        var second =
                queries.ask(CompletableFuture.completedFuture(next), request())
                        .toCompletableFuture();
        queries.received(slow, answer(slow.frame));
        assertFalse(second.isDone());
        queries.received(next, answer(next.frame));
        assertTrue(second.isDone());
    }

    private static Frame answer(Frame query) {
        return Frame.newBuilder()
                .setExchange(query.getExchange())
                .setClaimOutcome(ClaimOutcome.getDefaultInstance())
                .build();
    }

    private static Request request() {
        return new Request(
                new ExchangeId(Incarnation.of("router-1:1"), 1),
                WorkspaceId.of("kitchens"),
                KeyId.of("key"),
                new Target.Service(ServiceName.of("payments")),
                "POST",
                "/pay",
                List.of(),
                ByteString.emptyByteString(),
                Instant.MAX,
                Optional.of(new IdempotencyKey("k-1")),
                false,
                0);
    }

    /** A link that keeps the last frame that was sent over it. */
    private static final class SentFrame implements PeerLink {
        private Frame frame;

        @Override
        public Optional<Hello> remote() {
            return Optional.empty();
        }

        @Override
        public boolean send(Frame given) {
            frame = given;
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
