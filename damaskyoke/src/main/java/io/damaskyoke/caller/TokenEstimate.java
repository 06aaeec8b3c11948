package io.damaskyoke.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.exchange.RefusalCode;
import java.nio.charset.StandardCharsets;

/** How many tokens a request is charged at admission; the real use is settled afterwards. */
final class TokenEstimate {
    static final long PER_SERVICE_CALL = 1;
    static final long DEFAULT_MAX_TOKENS = 256;
    static final int BYTES_PER_TOKEN = 4;

    private TokenEstimate() {}

    /** Tokens of the prompt, as bytes of its JSON through four, and of the longest answer. */
    static long ofModelCall(JsonNode prompt, JsonNode body) {
        long promptBytes = prompt.toString().getBytes(StandardCharsets.UTF_8).length;
        return promptBytes / BYTES_PER_TOKEN + answerTokens(body);
    }

    private static long answerTokens(JsonNode body) {
        JsonNode current = body.path("max_completion_tokens");
        JsonNode limit = absent(current) ? body.path("max_tokens") : current;
        if (absent(limit)) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!limit.isIntegralNumber() || !limit.canConvertToInt() || limit.intValue() < 0) {
            throw CallerException.of(
                    RefusalCode.MALFORMED_REQUEST, "max_tokens must be a whole number, 0 or more");
        }
        return limit.intValue();
    }

    private static boolean absent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }
}
