package io.damaskyoke.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Refusal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Turns answers and refusals into HTTP. */
final class AnswerWriter {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private AnswerWriter() {}

    /** A refusal as JSON, with {@code Retry-After} if coming back can help. */
    static HttpResponse refusal(Refusal refusal) {
        HttpResponse response =
                json(refusal.code().status(), ByteString.fromString(errorJson(refusal)));
        return refusal.retryAfter()
                .map(wait -> response.addHeader(RawHeader.create("Retry-After", seconds(wait))))
                .orElse(response);
    }

    /** The last event of a server-sent stream that broke off. */
    static ByteString errorEvent(Refusal refusal) {
        return ByteString.fromString("data: " + errorJson(refusal) + "\n\n");
    }

    /** An answer that is wholly there. */
    static HttpResponse whole(int status, List<Header> headers, ByteString body) {
        HttpResponse response = head(status, headers);
        if (!response.status().allowsEntity()) {
            return response;
        }
        return response.withEntity(HttpEntities.create(contentType(headers), body));
    }

    /** An answer that goes out while it comes in. */
    static HttpResponse streamed(
            int status, List<Header> headers, Source<ByteString, NotUsed> body) {
        ResponseEntity entity = HttpEntities.createChunked(contentType(headers), body);
        return head(status, headers).withEntity(entity);
    }

    /** The models in the format of the OpenAI API. */
    static HttpResponse modelList(Stream<Model> models) {
        ObjectNode list = JSON.objectNode().put("object", "list");
        models.map(AnswerWriter::card).forEach(list.putArray("data")::add);
        return json(StatusCodes.OK.intValue(), ByteString.fromString(list.toString()));
    }

    /** One model in the format of the OpenAI API. */
    static HttpResponse modelCard(Model model) {
        return json(StatusCodes.OK.intValue(), ByteString.fromString(card(model).toString()));
    }

    private static JsonNode card(Model model) {
        return JSON.objectNode()
                .put("id", model.name().value())
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", "damaskyoke");
    }

    private static String errorJson(Refusal refusal) {
        ObjectNode error = JSON.objectNode();
        error.putObject("error")
                .put("code", refusal.code().wireName())
                .put("message", refusal.message())
                .put("type", refusal.code().type())
                .put("not_run", refusal.notRun());
        return error.toString();
    }

    private static String seconds(Duration wait) {
        long whole = wait.toSeconds();
        long roundedUp = wait.getNano() > 0 ? whole + 1 : whole;
        return Long.toString(Math.max(1, roundedUp));
    }

    private static HttpResponse json(int status, ByteString body) {
        return HttpResponse.create()
                .withStatus(status(status))
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, body));
    }

    private static HttpResponse head(int status, List<Header> headers) {
        List<HttpHeader> passed = new ArrayList<>();
        for (Header header : SafeHeaders.toCaller(headers)) {
            if (!header.named("Content-Type")) {
                passed.add(RawHeader.create(header.name(), header.value()));
            }
        }
        return HttpResponse.create().withStatus(status(status)).addHeaders(passed);
    }

    private static StatusCode status(int status) {
        return StatusCodes.lookup(status)
                .orElseGet(() -> StatusCodes.custom(status, "Status " + status, "", false, true));
    }

    private static ContentType contentType(List<Header> headers) {
        return headers.stream()
                .filter(h -> h.named("Content-Type"))
                .findFirst()
                .map(h -> parsed(h.value()))
                .orElse(ContentTypes.APPLICATION_OCTET_STREAM);
    }

    private static ContentType parsed(String value) {
        try {
            return ContentTypes.parse(value);
        } catch (RuntimeException e) {
            return ContentTypes.APPLICATION_OCTET_STREAM;
        }
    }
}
