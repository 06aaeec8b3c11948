package io.damaskyoke.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTreesTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "{\"a\":1,\"b\":[true,false,null,{\"c\":\"\u00e9 \\\" \\u0007\"}]}",
                "{\"n\":[0,-7,2147483648,9223372036854775807,92233720368547758080,0.1,65099.99999999999]}",
                "\"text\"",
                "{\"a\":1,\"a\":2}",
                "{} trailing"
            })
    void treesAreWhatAMapperReadsAndWrites(String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        var tree = JsonTrees.read(bytes);
        assertEquals(MAPPER.readTree(bytes), tree);
        assertEquals(MAPPER.writeValueAsString(tree), text(JsonTrees.write(tree)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "{\"a\"", "{\"a\":", "[1", "[1,", "nonsense", "{\"a\":1]"})
    void whatBreaksOffIsRefused(String json) {
        assertThrows(
                IOException.class, () -> JsonTrees.read(json.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void nothingIsAMissingNode() throws IOException {
        assertTrue(JsonTrees.read(new byte[0]).isMissingNode());
    }

    // Guards against names of another writer that are kept for all of the process, which takes
    // several times as long as reading them.
    @Test
    void namesAreNotInterned() throws IOException {
        String name = new String("aNameThatNothingElseHas").intern();
        String read =
                JsonTrees.read(("{\"" + name + "\":1}").getBytes(StandardCharsets.UTF_8))
                        .fieldNames()
                        .next();
        assertEquals(name, read);
        assertNotSame(name, read);
    }

    // Guards against input that overflows the stack: whoever skips what is no JSON would not expect
    // an error.
    @ParameterizedTest
    @ValueSource(ints = {65, 300, 1_000, 1_001, 300_000})
    void whatIsNestedTooDeepIsRefusedOnASmallStack(int depth) throws InterruptedException {
        for (String json :
                List.of(
                        lists(depth),
                        "{\"a\":".repeat(depth) + "1" + "}".repeat(depth),
                        "{\"a\":" + lists(depth) + "}",
                        "{\"a\":[".repeat(depth),
                        "[".repeat(depth))) {
            assertInstanceOf(IOException.class, failureOnASmallStack(json));
        }
    }

    @Test
    void whatIsNestedAsDeepAsAllowedIsRead() throws InterruptedException {
        assertNull(failureOnASmallStack(lists(JsonTrees.MAX_DEPTH)));
    }

    private static Throwable failureOnASmallStack(String json) throws InterruptedException {
        return SmallStack.failureOf(() -> JsonTrees.read(json.getBytes(StandardCharsets.UTF_8)));
    }

    private static String lists(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    private static String text(byte[] json) {
        return new String(json, StandardCharsets.UTF_8);
    }
}
