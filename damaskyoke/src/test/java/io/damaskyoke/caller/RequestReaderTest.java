package io.damaskyoke.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestReaderTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final String CHAT = "/v1/chat/completions";
    private static final String HELLO =
            "{\"model\":\"cut-sheet\",\"messages\":[{\"role\":\"user\"}],\"x\":1}";

    private final RequestReader reader =
            new RequestReader(
                    new KeyCheck(CallerFixture.HASHER),
                    CallerFixture.settings(Duration.ofSeconds(5)));

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\0',
            value = {
                "{\"model\":\"cut-sheet\" | MALFORMED_REQUEST",
                "[] | MALFORMED_REQUEST",
                "{\"messages\":[{}]} | MALFORMED_REQUEST",
                "{\"model\":7,\"messages\":[{}]} | MALFORMED_REQUEST",
                "{\"model\":\"\",\"messages\":[{}]} | MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\"} | MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\",\"messages\":\"hi\"} | MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\",\"messages\":[{}],\"stream\":1} | MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\",\"messages\":[{}],\"max_tokens\":-1} | MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\",\"messages\":[{}],\"max_tokens\":1e99} |"
                        + " MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\",\"messages\":[{}]} {} | MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\",\"model\":\"tides\",\"messages\":[{}]} |"
                        + " MALFORMED_REQUEST",
                "{\"model\":\"cut-sheet\",\"messages\":[\"sk-kochi-0001\"]} | MALFORMED_REQUEST",
                "{\"model\":\"tides\",\"messages\":[{}]} | UNKNOWN_MODEL",
                "{\"model\":\"no such\",\"messages\":[{}]} | UNKNOWN_MODEL"
            })
    void aModelCallOfTheWrongShapeIsRefused(String body, RefusalCode code) {
        assertRefused(code, "POST", CHAT, body, json());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"0", "-1", "NaN", "Infinity", "1e3", "", "0.0", "1,5", "0x10", "1234567890"})
    void aTimeoutThatIsNoPositiveDecimalIsRefused(String timeout) {
        assertRefused(
                RefusalCode.BAD_DEADLINE,
                "POST",
                CHAT,
                HELLO,
                json(new Header("Request-Timeout", timeout)));
    }

    @ParameterizedTest
    @CsvSource({"2.5, 2500", "0.001, 1", "999999999, 60000"})
    void aTimeoutIsTakenUpToTheLongestOfTheSettings(String timeout, long millis) {
        Request request = read("POST", CHAT, HELLO, json(new Header("Request-Timeout", timeout)));
        assertEquals(NOW.plusMillis(millis), request.deadline());
    }

    @ParameterizedTest
    @CsvSource({
        "Bearer sk-nobody-0000, KEY_UNKNOWN",
        "Bearer sk-kochi-0002, KEY_WITHDRAWN",
        "Basic sk-kochi-0001, KEY_MISSING",
        "Bearer, KEY_MISSING"
    })
    void aKeyThatIsNotGrantedIsRefused(String value, RefusalCode code) {
        List<Header> headers = List.of(new Header("Authorization", value), jsonType());
        assertRefused(code, "POST", CHAT, HELLO, headers);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/lookup/../pay",
                "/lookup/%2e%2e/pay",
                "/lookup%2f..%2fpay",
                "/lookup/..;/pay"
            })
    void aPathThatCouldResolveToAnotherCallIsRefused(String path) {
        assertRefused(
                RefusalCode.MALFORMED_REQUEST, "POST", "/v1/services/ledger" + path, "", json());
    }

    @Test
    void twoKeysAreRefused() {
        assertRefused(
                RefusalCode.MALFORMED_REQUEST,
                "POST",
                CHAT,
                HELLO,
                json(new Header("AUTHORIZATION", "Bearer other")));
    }

    @Test
    void aFormIsNoModelCall() {
        List<Header> form = List.of(key(), new Header("Content-Type", "text/plain"));
        assertRefused(RefusalCode.UNSUPPORTED_MEDIA_TYPE, "POST", CHAT, HELLO, form);
    }

    @Test
    void headersBeyondTheLimitTogetherAreRefused() {
        Header large = new Header("X-Large", "a".repeat(2_000));
        assertRefused(RefusalCode.MALFORMED_REQUEST, "POST", CHAT, HELLO, json(large));
    }

    @Test
    void aModelCallPassesOnByteForByte() {
        Request request = read("POST", CHAT + "?a=b", HELLO, json());
        assertEquals(ByteString.fromString(HELLO), request.body());
        assertEquals(CHAT + "?a=b", request.path());
        assertTrue(request.idempotent());
        assertEquals(256 + 17 / 4, request.tokens());
    }

    @Test
    void onlyServiceCallsThatOperatorsMarkedAreIdempotent() {
        assertTrue(read("POST", "/v1/services/ledger/lookup?q=1", "", json()).idempotent());
        assertFalse(read("POST", "/v1/services/ledger/pay", "", json()).idempotent());
        assertTrue(read("GET", "/v1/services/ledger/pay", "", json()).idempotent());
    }

    /*
     * A caller copies its key into headers of other names, in odd spelling, or names the header
     * as one of its own by Connection. An upstream that logs headers would then hold the key.
     */
    @Test
    void noHeaderThatHoldsTheKeyPasses() {
        Request request =
                read(
                        "GET",
                        "/v1/services/ledger/bed",
                        "",
                        json(
                                new Header("X-aPi-kEy", "other"),
                                new Header("X-Copy", "see " + CallerFixture.KEY),
                                new Header("X-Upper", "SK-KOCHI-0001"),
                                new Header("X-" + CallerFixture.KEY, "1"),
                                new Header("Cookie", "a=b"),
                                new Header("Proxy-Authorization", "Basic x"),
                                new Header("Connection", "x-hop, close"),
                                new Header("X-Hop", "1"),
                                new Header("X-Kept", "yes")));
        List<String> names = request.headers().stream().map(Header::name).toList();
        assertEquals(List.of("Content-Type", "X-Kept"), names);
    }

    /*
     * The key is in order when the head comes, and is withdrawn while the caller still sends the
     * body. The request must not run, although its head was admitted.
     */
    @Test
    void aKeyWithdrawnWhileTheBodyComesIsRefused() {
        RequestReader.Admitted admitted =
                admit("POST", CHAT, json(), CallerFixture.configuration(true));
        Configuration later = CallerFixture.configuration(false);
        CallerException refused =
                assertThrows(
                        CallerException.class,
                        () ->
                                reader.read(
                                        admitted,
                                        ByteString.fromString(HELLO),
                                        later,
                                        RequestReaderTest::id));
        assertEquals(RefusalCode.KEY_WITHDRAWN, refused.refusal().code());
    }

    private void assertRefused(
            RefusalCode code, String method, String target, String body, List<Header> headers) {
        CallerException refused =
                assertThrows(CallerException.class, () -> read(method, target, body, headers));
        assertEquals(code, refused.refusal().code());
        assertTrue(refused.refusal().notRun());
    }

    private Request read(String method, String target, String body, List<Header> headers) {
        Configuration configuration = CallerFixture.configuration(true);
        return reader.read(
                admit(method, target, headers, configuration),
                ByteString.fromString(body),
                configuration,
                RequestReaderTest::id);
    }

    private RequestReader.Admitted admit(
            String method, String target, List<Header> headers, Configuration configuration) {
        RequestHead head = RequestHead.of(method, target, headers);
        return reader.admit(head, Route.of(head.path()).orElseThrow(), configuration, NOW);
    }

    private static List<Header> json(Header... more) {
        List<Header> headers = new ArrayList<>(List.of(key(), jsonType()));
        headers.addAll(List.of(more));
        return headers;
    }

    private static Header key() {
        return new Header("Authorization", "bearer " + CallerFixture.KEY);
    }

    private static Header jsonType() {
        return new Header("Content-Type", "application/json; charset=utf-8");
    }

    private static ExchangeId id() {
        return new ExchangeId(Incarnation.of("vm:1"), 1);
    }
}
