package io.damaskyoke.http;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How the bytes of a server are cut into responses. */
class AnswerFramingTest {
    private static final String OK =
            "HTTP/1.1 200 OK\r\nTry: <id>\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone";
    private static final Set<String> FAILURES = Set.of("GARBLED", "CUT_SHORT", "BROKEN");

    private final AskingClient client = new AskingClient();

    @AfterEach
    void stop() {
        client.close();
    }

    // Guards against half a response that looks like a whole one.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTry: <id>\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone",
                "HTTP/1.1 200 OK\r\n"
                        + "Try: <id>\r\n"
                        + "Content-Length: 13\r\n"
                        + "Seal: s\r\n\r\n"
                        + "done and done",
                "HTTP/1.1 200 OK\r\nTry: <id>\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\ndone\r\n0\r\n\r\n",
                "HTTP/1.0 200 OK\r\nTry: <id>\r\nContent-Length: 4\r\n\r\ndone",
                "HTTP/1.1 503 Service Unavailable\r\nTry: <id>\r\nContent-Length: 4\r\n\r\nfull"
            })
    void aResponseThatIsCutAtAnyByteIsNotWhole(String whole) {
        List<String> cuts = new ArrayList<>();
        for (int end = 0; end < whole.length(); end++) {
            cuts.add(whole.substring(0, end) + RawServer.CLOSE);
        }
        try (RawServer server = new RawServer(cuts.toArray(String[]::new))) {
            for (String cut : cuts) {
                String outcome = client.ask(server);
                assertTrue(FAILURES.contains(outcome), cut + " gave " + outcome);
            }
        }
    }

    // Guards against a truncated extra response that runs together with the next one, whose promise
    // that its request has not run is then taken for one about the next.
    @ParameterizedTest
    @CsvSource({
        "200 OK,0",
        "500 Failed,0",
        "503 Service Unavailable,0",
        "200 OK,",
        "500 Failed,",
        "503 Service Unavailable,"
    })
    void aTruncatedExtraResponseIsNeverJoinedWithTheNext(String status, String id) {
        String named = id == null ? "" : "Try: " + id + "\r\n";
        String extra =
                "HTTP/1.1 "
                        + status
                        + "\r\nNot-Run: 1\r\n"
                        + named
                        + "Content-Length: 4\r\n\r\nfull";
        List<String> answers = new ArrayList<>();
        for (int end = 1; end <= extra.length(); end++) {
            answers.add(OK);
            answers.add(extra.substring(0, end) + OK);
        }
        try (RawServer server = new RawServer(answers.toArray(String[]::new))) {
            for (int each = 0; each < answers.size(); each += 2) {
                assertEquals("200 done", client.ask(server));
                String outcome = client.ask(server);
                assertTrue(
                        outcome.equals("200 done") || FAILURES.contains(outcome),
                        answers.get(each + 1) + " gave " + outcome);
            }
        }
    }

    // Guards against a length or a status that other readers of the same bytes see differently.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4, 2\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunk\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: upgrade\r\n",
                "HTTP/1.1 101 Switching Protocols\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: x\0y\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: x\ry\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: x\u0001y\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nnocolon\r\n",
                "HTTP/1.1 200 OK\nContent-Length: 4\n",
                "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 99 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 1000 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 0200 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 -200 Odd\r\nContent-Length: 4\r\n",
                "HTTP/1.1 20 Odd\r\nContent-Length: 4\r\n",
                "http/1.1 200 OK\r\nContent-Length: 4\r\n",
                "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n",
                "HTTP/1.7 200 OK\r\nContent-Length: 4\r\n",
                "TP/1.1 200 OK\r\nContent-Length: 4\r\n",
                "HHTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
                "ICY 200 OK\r\nContent-Length: 4\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
            })
    void anAmbiguousHeadIsGarbled(String head) {
        String body = head.contains("Transfer") ? "4\r\ndone\r\n0\r\n\r\n" : "done";
        String end = head.endsWith("\r\n") ? "\r\n" : "\n";
        try (RawServer server = new RawServer(head + "Try: <id>" + end + end + body)) {
            assertEquals("GARBLED", client.ask(server));
        }
    }

    // Guards against a malformed field that is passed on, or taken for one that says where the body
    // ends.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length : 4",
                "Content-Length\t: 4",
                "Content-Length X: 4",
                "Content-Length\u000bX: 4",
                "Content Length: 4",
                " Content-Length: 4",
                "\tContent-Length: 4",
                "Transfer-Encoding : chunked",
                "A B: x",
                "A\u0001B: x",
                "A\u001f: x",
                "A\u007f: x",
                "A\0: x",
                "A\rB: x",
                "A(B): x",
                "A\u0080: x",
                ": x",
                " : x",
                " x",
                "\tx"
            })
    void aHeadWithAMalformedFieldNameIsGarbled(String field) {
        for (String head : List.of("Try: <id>\r\n" + field, field + "\r\nTry: <id>")) {
            for (String pause : List.of("", RawServer.PAUSE)) {
                String answer = head.replace("\r\n", "\r\n" + pause) + "\r\n\r\ndone";
                String bytes = "HTTP/1.1 200 OK\r\n" + pause + answer + RawServer.CLOSE;
                try (RawServer server = new RawServer(bytes)) {
                    assertEquals("GARBLED", client.ask(server), answer);
                }
            }
        }
    }

    // Guards against a safeguard that rejects sound heads.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.1 127.0.0.1\r\n",
                "HTTP/1.1 200 \r\n",
                "HTTP/1.1 200\r\n",
                "HTTP/1.0 200 OK\r\n",
                "\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 103 Early Hints\r\nTry: <id>\r\n\r\nHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~aZ9:x\r\nEmpty:\r\nB: \t y \t\r\n"
            })
    void aSoundHeadIsTaken(String head) {
        String rest = "Try: <id>\r\nContent-Length: 4\r\n\r\ndone";
        try (RawServer server = new RawServer(head + rest)) {
            assertEquals("200 done", client.ask(server));
        }
    }

    // Guards against a body that is taken for a line of its head.
    @Test
    void aBodyMayBeginWithABlank() {
        String head = "HTTP/1.1 200 OK\r\nTry: <id>\r\n";
        String sized = head + "Content-Length: 4\r\n\r\n";
        String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        String[] answers = {
            sized + " a\n ",
            sized + RawServer.PAUSE + "\tb\n\t",
            chunked + "2\r\n c\r\n2\r\n d\r\n0\r\n\r\n"
        };
        try (RawServer server = new RawServer(answers)) {
            assertEquals("200  a\n ", client.ask(server));
            assertEquals("200 \tb\n\t", client.ask(server));
            assertEquals("200  c d", client.ask(server));
            assertEquals(1, server.connections());
        }
    }

    // Guards against a request that waits for its response inside the body of another one.
    @ParameterizedTest
    @ValueSource(strings = {"Try: 0\r\n", ""})
    void anExtraResponseWithoutALengthEndsTheExchangeAtOnce(String name) {
        String extra = "HTTP/1.1 500 Failed\r\n" + name + "\r\nbody";
        try (RawServer server = new RawServer(OK, extra + OK)) {
            assertEquals("200 done", client.ask(server));
            assertEquals("GARBLED", client.ask(server));
        }
    }

    // Guards against an extra response without a body whose end is awaited.
    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void anExtraResponseThatHasNoBodyIsSkipped(String status) {
        String extra = "HTTP/1.1 " + status + "\r\nTry: 0\r\n\r\n";
        try (RawServer server = new RawServer(OK, extra + OK)) {
            assertEquals("200 done", client.ask(server));
            assertEquals("200 done", client.ask(server));
        }
    }

    // Guards against an extra response to another method that shifts what has a body.
    @Test
    void aHeadRequestGoesOnAConnectionOfItsOwn() {
        String bodiless = OK.replace("done", "");
        try (RawServer server = new RawServer(OK, bodiless + bodiless, OK)) {
            assertEquals("200 done", client.ask(server));
            assertEquals("200 ", client.ask(server, HttpMethod.HEAD));
            assertEquals("200 done", client.ask(server));
            assertEquals(2, server.connections());
        }
    }

    // Guards against the beginning of an extra response that waits for the next one.
    @ParameterizedTest
    @ValueSource(strings = {"", RawServer.PAUSE})
    void furtherBytesOfAnyKindCloseTheConnection(String pause) {
        for (String further : List.of("H", "nonsense", "HTTP/1.1 503 Full\r\nNot-Run: 1", OK)) {
            long before = client.unmatched(UnmatchedAnswer.NO_REQUEST);
            try (RawServer server = new RawServer(OK + pause + further, OK)) {
                assertEquals("200 done", client.ask(server));
                await().until(() -> client.unmatched(UnmatchedAnswer.NO_REQUEST) == before + 1);
                assertEquals("200 done", client.ask(server));
                assertEquals(2, server.connections(), further);
            }
        }
    }

    // Guards against bytes behind a response that has no body, which would begin the next one.
    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void aBodyBehindAResponseThatHasNoneClosesTheConnection(String status) {
        String bodiless = OK.replace("200 OK", status);
        try (RawServer server = new RawServer(bodiless, OK)) {
            assertEquals(status.substring(0, 4), client.ask(server));
            await().until(() -> client.unmatched(UnmatchedAnswer.NO_REQUEST) == 1);
            assertEquals("200 done", client.ask(server));
            assertEquals(2, server.connections());
        }
    }

    @Test
    void theResponseToAHeadRequestHasNoBody() {
        try (RawServer server = new RawServer(OK.replace("done", ""))) {
            assertEquals("200 ", client.ask(server, HttpMethod.HEAD));
        }
    }
}
