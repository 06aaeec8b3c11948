package io.damaskyoke.direct;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.http.HttpCall;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Writes answers of our own: the status, why, whether it has run, and when to come back. */
final class Refusals {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MILLIS = 1000.0;

    private Refusals() {}

    static void send(HttpCall call, HttpHeaders headers, Refusal refusal) {
        headers.set("Content-Type", "application/json");
        refusal.retryAfter()
                .ifPresent(
                        wait ->
                                headers.set(
                                        "Retry-After",
                                        String.format(
                                                Locale.ROOT, "%.2f", wait.toMillis() / MILLIS)));
        byte[] body = body(refusal).getBytes(StandardCharsets.UTF_8);
        call.answer(status(refusal), headers, Unpooled.wrappedBuffer(body));
    }

    // 429 and 503 promise that the request has not run; one that may have must not bear them.
    static int status(Refusal refusal) {
        int status = refusal.code().status();
        boolean promises = status == 429 || status == 503;
        return promises && !refusal.notRun() ? RefusalCode.OUTCOME_UNKNOWN.status() : status;
    }

    private static String body(Refusal refusal) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error")
                .put("code", refusal.code().wireName())
                .put("message", refusal.message())
                .put("type", refusal.code().type())
                .put("not_run", refusal.notRun());
        return root.toString();
    }
}
