package io.damaskyoke.caller;

import io.damaskyoke.control.configuration.CallerKey;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.configuration.Service;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.settings.RouterSettings;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.pekko.util.ByteString;

/**
 * Turns what came over HTTP into a {@link Request}; does no I/O and reads no clock.
 *
 * <p>First the head: {@code reader.admit(head, configuration, now)}, so that nobody without a key
 * makes us read a body. Then the whole: {@code reader.read(admitted, body, configuration, id)}.
 * Both throw a {@link CallerException} with the refusal.
 */
final class RequestReader {
    /** A shorter text would be found in bodies by chance. */
    private static final int MIN_SEARCHED_KEY = 8;

    private final KeyCheck keys;
    private final Deadlines deadlines;
    private final int maxHeaderBytes;

    RequestReader(KeyCheck keys, RouterSettings.Caller settings) {
        this.keys = keys;
        this.deadlines = new Deadlines(settings.defaultDeadline(), settings.maxDeadline());
        this.maxHeaderBytes = settings.maxHeaderBytes();
    }

    /** A request whose head is in order. */
    record Admitted(
            RequestHead head, Route route, String keyText, CallerKey key, Instant deadline) {
        WorkspaceId workspace() {
            return key.workspace();
        }
    }

    /** Checks all that can be checked before the body is there. */
    Admitted admit(RequestHead head, Route route, Configuration configuration, Instant now) {
        checkSize(head.headers());
        String text = keys.text(head);
        CallerKey key = keys.granted(text, configuration);
        if (route.kind().modelCall()) {
            checkJson(head);
        }
        checkKeyAbsent(head.path() + head.query(), text);
        Instant deadline = now.plus(deadlines.wait(head.header(Deadlines.HEADER)));
        return new Admitted(head, route, text, key, deadline);
    }

    /**
     * The request as a whole. The key is checked again, since it may have been withdrawn while the
     * body was on its way.
     */
    Request read(
            Admitted admitted,
            ByteString body,
            Configuration configuration,
            Supplier<ExchangeId> ids) {
        CallerKey key = keys.granted(admitted.keyText(), configuration);
        checkKeyAbsent(body.utf8String(), admitted.keyText());
        Part part = part(admitted, body, configuration);
        return new Request(
                ids.get(),
                key.workspace(),
                key.id(),
                part.target(),
                admitted.head().method(),
                part.path(),
                SafeHeaders.toUpstream(admitted.head().headers(), admitted.keyText()),
                body,
                admitted.deadline(),
                idempotencyKey(admitted.head()),
                part.idempotent(),
                part.tokens());
    }

    /** What differs between calls to models and to services. */
    private record Part(Target target, String path, boolean idempotent, long tokens) {}

    private static Part part(Admitted admitted, ByteString body, Configuration configuration) {
        return admitted.route().kind().modelCall()
                ? modelPart(admitted, body, configuration)
                : servicePart(admitted, configuration);
    }

    private static Part modelPart(Admitted admitted, ByteString body, Configuration configuration) {
        ModelCall call = ModelCall.of(admitted.route().kind(), body);
        model(call.model().value(), admitted.workspace(), configuration);
        String path = admitted.head().path() + admitted.head().query();
        return new Part(new Target.Model(call.model()), path, true, call.tokens());
    }

    private static Part servicePart(Admitted admitted, Configuration configuration) {
        Route route = admitted.route();
        Service service = service(route.name(), admitted.workspace(), configuration);
        return new Part(
                new Target.Service(service.name()),
                route.rest() + admitted.head().query(),
                service.isIdempotent(admitted.head().method(), route.rest()),
                TokenEstimate.PER_SERVICE_CALL);
    }

    /** The model, if it is there and open to the workspace; both look the same to the caller. */
    static Model model(String name, WorkspaceId workspace, Configuration configuration) {
        return Optional.ofNullable(ModelCall.name(name))
                .map(configuration.models()::get)
                .filter(model -> model.allows(workspace))
                .orElseThrow(
                        () ->
                                CallerException.of(
                                        RefusalCode.UNKNOWN_MODEL, "no such model: " + name));
    }

    private static Service service(
            String name, WorkspaceId workspace, Configuration configuration) {
        return serviceName(name)
                .map(configuration.services()::get)
                .filter(service -> service.allows(workspace))
                .orElseThrow(
                        () -> CallerException.of(RefusalCode.UNKNOWN_SERVICE, "no such service"));
    }

    private static Optional<ServiceName> serviceName(String name) {
        try {
            return Optional.of(new ServiceName(name));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void checkSize(List<Header> headers) {
        int bytes = headers.stream().mapToInt(h -> h.name().length() + h.value().length()).sum();
        if (bytes > maxHeaderBytes) {
            throw CallerException.of(
                    RefusalCode.MALFORMED_REQUEST,
                    "the headers must not exceed " + maxHeaderBytes + " bytes together");
        }
    }

    private static void checkJson(RequestHead head) {
        String type = head.header("Content-Type").orElse("").split(";")[0].trim();
        if (!type.equalsIgnoreCase("application/json")) {
            throw CallerException.of(
                    RefusalCode.UNSUPPORTED_MEDIA_TYPE, "send the body as application/json");
        }
    }

    /** No upstream may see a caller's key, and what an upstream gets is not rewritten by us. */
    private static void checkKeyAbsent(String text, String key) {
        if (key.length() >= MIN_SEARCHED_KEY && text.contains(key)) {
            throw CallerException.of(
                    RefusalCode.MALFORMED_REQUEST,
                    "the caller key must stand in the Authorization header only");
        }
    }

    private static Optional<IdempotencyKey> idempotencyKey(RequestHead head) {
        try {
            return head.header("Idempotency-Key").map(IdempotencyKey::new);
        } catch (IllegalArgumentException e) {
            throw CallerException.of(RefusalCode.MALFORMED_REQUEST, e.getMessage());
        }
    }
}
