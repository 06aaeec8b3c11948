package io.damaskyoke.direct;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.http.HttpCall;
import io.damaskyoke.json.JsonTrees;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;

/**
 * Writes the router's own error answers: status, reason, whether the request may have run, and when
 * to retry.
 */
final class RefusalWriter {
    private static final long MILLIS = 1_000;
    private static final long HUNDREDTH_MILLIS = 10;

    private RefusalWriter() {}

    static void send(HttpCall call, HttpHeaders headers, Refusal refusal) {
        headers.set("Content-Type", "application/json");
        refusal.retryAfter().ifPresent(wait -> headers.set("Retry-After", seconds(wait)));
        call.answer(status(refusal), headers, Unpooled.wrappedBuffer(body(refusal)));
    }

    // Avoids String.format: hundreds of refusals a second are written on a fraction of a core.
    private static String seconds(Duration wait) {
        long hundredths = (wait.toMillis() + HUNDREDTH_MILLIS / 2) / HUNDREDTH_MILLIS;
        long rest = hundredths % (MILLIS / HUNDREDTH_MILLIS);
        return hundredths * HUNDREDTH_MILLIS / MILLIS + (rest < 10 ? ".0" : ".") + rest;
    }

    // 429 and 503 promise that the request has not run, so one that may have run gets another
    // status.
    static int status(Refusal refusal) {
        int status = refusal.code().status();
        boolean promises = status == 429 || status == 503;
        return promises && !refusal.notRun() ? RefusalCode.OUTCOME_UNKNOWN.status() : status;
    }

    private static byte[] body(Refusal refusal) {
        ObjectNode root = JsonTrees.object();
        root.putObject("error")
                .put("code", refusal.code().wireName())
                .put("message", refusal.message())
                .put("type", refusal.code().type())
                .put("not_run", refusal.notRun());
        return JsonTrees.write(root);
    }
}
