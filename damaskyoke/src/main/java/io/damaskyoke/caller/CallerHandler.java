package io.damaskyoke.caller;

import com.codahale.metrics.Histogram;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.CancelSignal;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpProtocols;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;
import org.apache.pekko.stream.Materializer;

/** Answers the requests of one connection, in their order. */
final class CallerHandler {
    private static final Duration STOPPING_RETRY = Duration.ofSeconds(1);

    private final CallerServer.Parts parts;
    private final RequestReader reader;
    private final BodyReader bodies;
    private final AnswerSender sender;
    private final ConnectionState state;
    private final Histogram firstByte;

    CallerHandler(CallerServer.Parts parts, ConnectionState state, Materializer materializer) {
        this.parts = parts;
        this.state = state;
        this.reader = new RequestReader(new KeyCheck(parts.hasher()), parts.settings());
        this.bodies =
                new BodyReader(
                        parts.settings().maxBodyBytes(),
                        parts.settings().headerTimeout(),
                        materializer);
        this.sender = new AnswerSender(state, parts.metrics(), materializer);
        this.firstByte = parts.metrics().histogram("first_byte_ms");
    }

    /** The answer to a request; the stage never fails. */
    CompletionStage<HttpResponse> handle(HttpRequest http) {
        Instant begun = parts.clock().instant();
        CancelSignal gone = state.begin(http.protocol().equals(HttpProtocols.HTTP_1_0));
        return serve(http, gone, begun)
                .exceptionally(failure -> refused(gone, failure))
                .thenApply(response -> measured(response, begun));
    }

    private CompletionStage<HttpResponse> serve(
            HttpRequest http, CancelSignal gone, Instant begun) {
        try {
            return route(http, gone, begun);
        } catch (RuntimeException e) {
            bodies.discard(http);
            return CompletableFuture.failedFuture(e);
        }
    }

    private CompletionStage<HttpResponse> route(
            HttpRequest http, CancelSignal gone, Instant begun) {
        checkAccepting();
        RequestHead head = head(http);
        Route route =
                Route.of(head.path())
                        .orElseThrow(
                                () ->
                                        CallerException.of(
                                                RefusalCode.UNKNOWN_SERVICE, "no such path"));
        if (!route.kind().takes(head.method())) {
            return methodNotAllowed(http, gone, route);
        }
        if (route.kind() != Route.Kind.SERVICE && head.method().equals("OPTIONS")) {
            bodies.discard(http);
            return sender.send(gone, options(route));
        }
        RequestReader.Admitted admitted =
                reader.admit(head, route, parts.configuration().get(), begun);
        return switch (route.kind()) {
            case MODEL_LIST, MODEL_CARD -> models(http, gone, admitted);
            default -> exchange(http, gone, admitted, begun);
        };
    }

    private CompletionStage<HttpResponse> exchange(
            HttpRequest http, CancelSignal gone, RequestReader.Admitted admitted, Instant begun) {
        boolean model = admitted.route().kind().modelCall();
        parts.metrics().count("caller_requests", "target", model ? "model" : "service");
        return bodies.read(http, Duration.between(begun, admitted.deadline()))
                .thenCompose(
                        body -> {
                            Configuration now = parts.configuration().get();
                            return dispatch(
                                    reader.read(admitted, body, now, parts.exchangeIds()), gone);
                        });
    }

    /** Once the dispatch is answered, the body is what a leaving caller cancels. */
    private CompletionStage<HttpResponse> dispatch(Request request, CancelSignal gone) {
        CancelSignal cancel = new CancelSignal();
        CompletableFuture<Answer> answer =
                parts.dispatcher().dispatch(request, cancel).toCompletableFuture();
        gone.onCancel(
                () -> {
                    if (!answer.isDone()) {
                        cancel.cancel();
                    }
                });
        return answer.thenCompose(ready -> deliver(request, gone, ready));
    }

    private CompletionStage<HttpResponse> deliver(
            Request request, CancelSignal gone, Answer answer) {
        if (answer instanceof Answer.Served served) {
            return sender.send(gone, served, request.idempotent());
        }
        Refusal refusal = ((Answer.Refused) answer).refusal();
        throw new CallerException(refusal, null);
    }

    private CompletionStage<HttpResponse> models(
            HttpRequest http, CancelSignal gone, RequestReader.Admitted admitted) {
        Configuration now = parts.configuration().get();
        HttpResponse response =
                admitted.route().kind() == Route.Kind.MODEL_LIST
                        ? AnswerWriter.modelList(
                                now.models().values().stream()
                                        .filter(model -> model.allows(admitted.workspace()))
                                        .sorted(Comparator.comparing(Model::name)))
                        : AnswerWriter.modelCard(
                                RequestReader.model(
                                        admitted.route().name(), admitted.workspace(), now));
        bodies.discard(http);
        return sender.send(gone, response);
    }

    private CompletionStage<HttpResponse> methodNotAllowed(
            HttpRequest http, CancelSignal gone, Route route) {
        bodies.discard(http);
        Refusal refusal =
                Refusal.notRun(
                        RefusalCode.METHOD_NOT_ALLOWED, "this path takes " + route.kind().allow());
        return sender.send(gone, refusal(refusal).addHeader(allow(route)));
    }

    private static HttpResponse options(Route route) {
        return HttpResponse.create().withStatus(StatusCodes.NO_CONTENT).addHeader(allow(route));
    }

    private static HttpHeader allow(Route route) {
        return RawHeader.create("Allow", route.kind().allow());
    }

    private HttpResponse refused(CancelSignal gone, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        Refusal refusal =
                cause instanceof CallerException known
                        ? known.refusal()
                        : Refusal.mayHaveRun(
                                RefusalCode.INTERNAL, "something failed that nobody foresaw");
        return sender.now(gone, refusal(refusal));
    }

    private HttpResponse refusal(Refusal refusal) {
        parts.metrics().count("caller_refused", "code", refusal.code().wireName());
        return AnswerWriter.refusal(refusal);
    }

    /** A stopping process asks for no more on this connection. */
    private HttpResponse measured(HttpResponse response, Instant begun) {
        firstByte.update(Duration.between(begun, parts.clock().instant()).toMillis());
        return parts.accepting().getAsBoolean()
                ? response
                : response.addHeader(Connection.create("close"));
    }

    private void checkAccepting() {
        if (!parts.accepting().getAsBoolean()) {
            throw new CallerException(
                    Refusal.notRun(RefusalCode.STOPPING, "this process is stopping")
                            .retryAfter(STOPPING_RETRY),
                    null);
        }
    }

    private static RequestHead head(HttpRequest http) {
        String target =
                http.getHeader(RawRequestURI.class)
                        .map(RawRequestURI::uri)
                        .orElse(http.getUri().toString());
        return RequestHead.of(http.method().value(), target, headers(http));
    }

    private static List<Header> headers(HttpRequest http) {
        List<Header> headers = new ArrayList<>();
        for (HttpHeader header : http.getHeaders()) {
            // The HTTP library adds some that were never on the wire, such as Timeout-Access.
            if (header.renderInRequests()) {
                headers.add(new Header(header.name(), header.value()));
            }
        }
        String type = http.entity().getContentType().toString();
        if (!type.equals("none/none")) {
            headers.add(new Header("Content-Type", type));
        }
        return headers;
    }
}
