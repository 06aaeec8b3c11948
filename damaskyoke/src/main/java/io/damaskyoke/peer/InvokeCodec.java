package io.damaskyoke.peer;

import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.peer.wire.Invoke;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.util.ByteString;

/** Converts requests to frames and back. Neither a caller key nor its id is put into a frame. */
final class InvokeCodec {
    private static final KeyId PLACEHOLDER_KEY = KeyId.of("-");

    private InvokeCodec() {}

    static Invoke toInvoke(Request request, Duration timeLeft, int credit, long configSequence) {
        Invoke.Builder invoke =
                Invoke.newBuilder()
                        .setWorkspace(request.workspace().value())
                        .setMethod(request.method())
                        .setPath(request.path())
                        .addAllHeaders(toWire(request.headers()))
                        .setBody(toWire(request.body()))
                        .setTimeLeftMs(Math.max(0, timeLeft.toMillis()))
                        .setIdempotent(request.idempotent())
                        .setCreditBytes(credit)
                        .setConfigSequence(configSequence);
        request.idempotencyKey().ifPresent(key -> invoke.setIdempotencyKey(key.value()));
        setTarget(invoke, request.target());
        return invoke.build();
    }

    /** Converts a frame to a request; throws IllegalArgumentException if a field is invalid. */
    static Request toRequest(ExchangeId id, Invoke invoke, Instant now) {
        return new Request(
                id,
                WorkspaceId.of(invoke.getWorkspace()),
                PLACEHOLDER_KEY,
                target(invoke),
                invoke.getMethod(),
                invoke.getPath(),
                fromWire(invoke.getHeadersList()),
                ByteString.fromByteBuffer(invoke.getBody().asReadOnlyByteBuffer()),
                now.plusMillis(timeLeft(invoke)),
                idempotencyKey(invoke),
                invoke.getIdempotent(),
                0);
    }

    static io.damaskyoke.peer.wire.ExchangeId toWire(ExchangeId id) {
        return io.damaskyoke.peer.wire.ExchangeId.newBuilder()
                .setIncarnation(id.origin().value())
                .setCounter(id.counter())
                .build();
    }

    static ExchangeId fromWire(io.damaskyoke.peer.wire.ExchangeId id) {
        return new ExchangeId(Incarnation.of(id.getIncarnation()), id.getCounter());
    }

    static List<io.damaskyoke.peer.wire.Header> toWire(List<Header> headers) {
        return headers.stream()
                .filter(header -> !header.named("Authorization"))
                .map(InvokeCodec::toWire)
                .toList();
    }

    static List<Header> fromWire(List<io.damaskyoke.peer.wire.Header> headers) {
        return headers.stream()
                .map(header -> new Header(header.getName(), header.getValue()))
                .toList();
    }

    static com.google.protobuf.ByteString toWire(ByteString bytes) {
        return com.google.protobuf.ByteString.copyFrom(bytes.asByteBuffer());
    }

    private static io.damaskyoke.peer.wire.Header toWire(Header header) {
        return io.damaskyoke.peer.wire.Header.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build();
    }

    private static void setTarget(Invoke.Builder invoke, Target target) {
        if (target instanceof Target.Model model) {
            invoke.setModel(model.model().value());
        } else {
            invoke.setService(target.name());
        }
    }

    private static Target target(Invoke invoke) {
        return invoke.getModel().isEmpty()
                ? new Target.Service(ServiceName.of(invoke.getService()))
                : new Target.Model(ModelName.of(invoke.getModel()));
    }

    private static long timeLeft(Invoke invoke) {
        long limit = Duration.ofDays(1).toMillis();
        long given = invoke.getTimeLeftMs();
        return given < 0 ? limit : Math.min(given, limit);
    }

    private static Optional<IdempotencyKey> idempotencyKey(Invoke invoke) {
        return Optional.of(invoke.getIdempotencyKey())
                .filter(key -> !key.isEmpty())
                .map(IdempotencyKey::new);
    }
}
