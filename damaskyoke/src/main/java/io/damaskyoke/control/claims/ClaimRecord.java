package io.damaskyoke.control.claims;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A claim on an idempotency key, as kept in the store and as reported by an agent.
 *
 * @param exchange the request that holds the claim, with its router and that router's incarnation
 * @param agent the only agent to which the request may have been sent
 * @param digest digest of target, method, path and body, to detect another request with the key
 * @param until wall-clock time from which no router waits for the answer any more
 * @param state the progress of the request
 * @param outcome the answer, present in state {@code SETTLED}
 */
public record ClaimRecord(
        ExchangeId exchange,
        VmId agent,
        String digest,
        Instant until,
        ClaimState state,
        Optional<Outcome> outcome) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * The recorded answer of a claimed request.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     * @param body the complete body, or empty if it was too large to keep or was cut off
     */
    public record Outcome(int status, List<Header> headers, Optional<byte[]> body) {
        /** Creates an outcome with an unmodifiable copy of the headers. */
        public Outcome {
            headers = List.copyOf(headers);
        }
    }

    /** Creates a claim for a request that will be sent to this agent. */
    public static ClaimRecord claimed(
            ExchangeId exchange, VmId agent, String digest, Instant until) {
        return new ClaimRecord(
                exchange, agent, digest, until, ClaimState.CLAIMED, Optional.empty());
    }

    /** Returns this claim in state {@code SETTLED} with the recorded answer. */
    public ClaimRecord settled(Outcome answer) {
        return new ClaimRecord(
                exchange, agent, digest, until, ClaimState.SETTLED, Optional.of(answer));
    }

    /** Returns this claim in the given state, without an answer. */
    public ClaimRecord withState(ClaimState other) {
        return new ClaimRecord(exchange, agent, digest, until, other, Optional.empty());
    }

    /** Returns the stored form, JSON in UTF-8. */
    public byte[] toJson() {
        ObjectNode node = JSON.createObjectNode();
        node.put("exchange", exchange.origin().value());
        node.put("counter", exchange.counter());
        node.put("agent", agent.value());
        node.put("digest", digest);
        node.put("until", until.toEpochMilli());
        node.put("state", state.name());
        outcome.ifPresent(answer -> write(answer, node.putObject("outcome")));
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new ClaimException(
                    ClaimException.Code.UNREADABLE, "claim can't be written as JSON", e);
        }
    }

    /**
     * Parses the stored form.
     *
     * @throws ClaimException if the bytes are not the JSON of a claim
     */
    public static ClaimRecord parse(byte[] json) {
        try {
            JsonNode node = JSON.readTree(json);
            JsonNode answer = node.get("outcome");
            return new ClaimRecord(
                    new ExchangeId(
                            Incarnation.of(node.path("exchange").asText()),
                            node.path("counter").asLong()),
                    VmId.of(node.path("agent").asText()),
                    node.path("digest").asText(),
                    Instant.ofEpochMilli(node.path("until").asLong()),
                    ClaimState.valueOf(node.path("state").asText()),
                    answer == null ? Optional.empty() : Optional.of(readOutcome(answer)));
        } catch (IOException | IllegalArgumentException e) {
            throw new ClaimException(
                    ClaimException.Code.UNREADABLE, "stored value is not the JSON of a claim", e);
        }
    }

    private static void write(Outcome answer, ObjectNode target) {
        target.put("status", answer.status());
        ArrayNode headers = target.putArray("headers");
        answer.headers().forEach(header -> headers.add(header.name()).add(header.value()));
        answer.body().ifPresent(body -> target.put("body", body));
    }

    private static Outcome readOutcome(JsonNode node) throws IOException {
        List<Header> headers = new ArrayList<>();
        JsonNode namesAndValues = node.path("headers");
        for (int i = 0; i + 1 < namesAndValues.size(); i += 2) {
            headers.add(
                    new Header(namesAndValues.get(i).asText(), namesAndValues.get(i + 1).asText()));
        }
        JsonNode body = node.get("body");
        return new Outcome(
                node.path("status").asInt(),
                headers,
                body == null ? Optional.empty() : Optional.of(body.binaryValue()));
    }
}
