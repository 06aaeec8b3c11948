package io.damaskyoke.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Test;

class TokenUsageTest {
    private static final String SSE =
            "data: {\"choices\":[{\"delta\":{\"content\":\"ogee\"}}],\"usage\":null}\n\n"
                + "data:"
                + " {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"prompt_tokens_details\":{\"cached_tokens\":4},\"total_tokens\":12}}\n\n"
                + "data: [DONE]\n\n";

    @Property(seed = "7", tries = 50)
    void theUsageIsFoundWhereverTheChunksAreCut(@ForAll @IntRange(min = 1, max = 300) int size) {
        assertEquals(OptionalLong.of(12), read(" ".repeat(9_000) + SSE, size));
    }

    @Test
    void generatedTextCannotPassForAUsage() {
        String text = "{\"content\":\"{\\\"usage\\\": {\\\"total_tokens\\\": 1}}\"}";
        assertEquals(OptionalLong.empty(), read(text, 7));
    }

    @Test
    void anAnswerCutInTheMiddleOfTheNumberGivesNothing() {
        assertEquals(OptionalLong.empty(), read("{\"usage\":{\"total_tokens\":12", 64));
    }

    private static OptionalLong read(String text, int size) {
        TokenUsage usage = new TokenUsage();
        for (int from = 0; from < text.length(); from += size) {
            String chunk = text.substring(from, Math.min(text.length(), from + size));
            usage.pass(ByteString.fromString(chunk));
        }
        return usage.total();
    }
}
