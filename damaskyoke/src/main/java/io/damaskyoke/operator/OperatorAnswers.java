package io.damaskyoke.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.control.configuration.TicketException;
import io.damaskyoke.control.configuration.TicketResult;
import io.damaskyoke.timeline.Event;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** The bodies that operators get. */
final class OperatorAnswers {
    private static final ObjectMapper JSON = JsonMapper.builder().build();
    private static final int OK = 200;
    private static final int UNPROCESSABLE = 422;
    private static final String RETRY_SECONDS = "2";

    private OperatorAnswers() {}

    static HttpResponse json(Object value) {
        return json(OK, value);
    }

    static HttpResponse text(int status, String text) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(ContentTypes.TEXT_PLAIN_UTF8, text.getBytes(StandardCharsets.UTF_8));
    }

    static HttpResponse lines(Stream<Event> events) {
        return text(OK, events.map(OperatorAnswers::line).collect(Collectors.joining()));
    }

    static HttpResponse ticket(TicketResult result) {
        if (result instanceof TicketResult.Accepted accepted) {
            return json(
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("number", accepted.number())
                            .put("state", "accepted")
                            .put("sequence", accepted.sequence())
                            .put("digest", accepted.digest()));
        }
        TicketResult.Refused refused = (TicketResult.Refused) result;
        return ticketError(refused.code(), refused.message(), refused.outcomeKnown());
    }

    static HttpResponse ticketError(TicketException.Code code, String message, boolean notRun) {
        HttpResponse response = error(status(code), code, message, notRun);
        boolean worthRepeating = response.status().intValue() == 503;
        return worthRepeating
                ? response.addHeader(RawHeader.create("Retry-After", RETRY_SECONDS))
                : response;
    }

    static HttpResponse error(int status, Enum<?> code, String message, boolean notRun) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.putObject("error")
                .put("code", code.name().toLowerCase(Locale.ROOT))
                .put("message", message)
                .put("type", type(status))
                .put("not_run", notRun);
        return json(status, root);
    }

    private static int status(TicketException.Code code) {
        return switch (code) {
            case MALFORMED, EMPTY, UNKNOWN_FIELD, BAD_VALUE, DUPLICATE_OBJECT -> 400;
            case TOO_LARGE -> 413;
            case OUTDATED, NUMBER_REUSED, KEY_TAKEN, IN_USE -> 409;
            case UNKNOWN_OBJECT -> UNPROCESSABLE;
            case BUSY, STORE_UNAVAILABLE, OUTCOME_UNKNOWN -> 503;
            default -> 500;
        };
    }

    private static String type(int status) {
        return switch (status) {
            case 401 -> "authentication_error";
            case 409 -> "conflict_error";
            default -> status >= 500 ? "server_error" : "invalid_request_error";
        };
    }

    private static String line(Event event) {
        ObjectNode node =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("time", event.at().millis())
                        .put("counter", event.at().counter())
                        .put("process", event.process())
                        .put("type", event.type().label())
                        .put("subject", event.subject());
        ObjectNode details = node.putObject("details");
        new TreeMap<>(event.details()).forEach(details::put);
        return node + "\n";
    }

    private static HttpResponse json(int status, Object value) {
        try {
            return HttpResponse.create()
                    .withStatus(status)
                    .withEntity(ContentTypes.APPLICATION_JSON, JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new OperatorException(
                    OperatorException.Code.INTERNAL, "the answer can't be written as JSON", e);
        }
    }
}
