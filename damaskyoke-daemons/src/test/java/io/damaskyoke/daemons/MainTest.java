package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.damaskyoke.control.configuration.KeyHasher;
import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.settings.RouterSettings;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
    private static final String ROUTER_FILE = "../config/router.toml";
    private static final String EXAMPLE_SECRET = "an example; make your own";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<String> asked = new ArrayList<>();
    private final DaemonStarter<RouterSettings> router =
            settings -> {
                throw new IllegalStateException("port taken");
            };
    private String input = "";
    private final Map<String, String> answers = new HashMap<>();
    private int status = 200;
    private String answer = "{}";
    private HttpServer server;

    @TempDir private Path directory;

    @BeforeEach
    void listen() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::respond);
        server.start();
    }

    @AfterEach
    void close() {
        server.stop(0);
    }

    @Test
    void helpListsTheCommands() {
        assertEquals(0, run("help"));
        Approvals.verify(out());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "router",
                "agent",
                "check-settings",
                "ticket submit",
                "ticket show",
                "status",
                "timeline",
                "metrics",
                "key hash",
                "version",
                "help"
            })
    void everyCommandHasHelpWithAnExample(String command) {
        assertEquals(0, run((command + " --help").split(" ")));
        assertTrue(out().startsWith("Usage: damaskyoke " + command), out());
        assertTrue(out().contains("\nExample: damaskyoke " + command), out());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "bogus",
                "ticket",
                "router",
                "help bogus",
                "status --router http://127.0.0.1:1",
                "status --router nonsense --token t",
                "check-settings --role cook f.toml",
                "router --settings nowhere.toml",
                "ticket show --router http://127.0.0.1:1 --token t seventeen",
                "timeline --router http://127.0.0.1:1 --token t --since yesterday"
            })
    void wrongUsageIsOneLineAndExitCodeTwo(String command) {
        assertEquals(2, run(command.split(" ")));
        assertEquals(1, err().lines().count(), err());
        assertEquals("", out());
    }

    @Test
    void goodSettingsPassTheCheck() {
        assertEquals(0, run("check-settings", "--role", "router", ROUTER_FILE));
    }

    @Test
    void everyFaultOfEveryFileIsPrinted() throws IOException {
        Path bad = directory.resolve("bad.toml");
        Files.writeString(bad, Files.readString(Path.of(ROUTER_FILE)).replace("8080", "80800"));
        int exitCode =
                run("check-settings", "--role", "router", bad.toString(), "nowhere", ROUTER_FILE);
        assertEquals(2, exitCode);
        assertEquals(2, err().lines().count());
        assertTrue(err().contains("bad.toml: caller.port: found 80800; allowed:"), err());
        assertEquals(ROUTER_FILE + ": good\n", out());
    }

    @Test
    void aDaemonThatCannotStartIsOneLineAndExitCodeOne() {
        assertEquals(1, run("router", "--settings", ROUTER_FILE));
        assertEquals(1, err().lines().count());
        assertTrue(err().contains("port taken"), err());
    }

    @Test
    void aTicketFromStandardInputIsPosted() {
        input = "{\"number\":17}";
        answer = "{\"accepted\":true}";
        assertEquals(0, ask("ticket", "submit"));
        assertEquals(List.of("POST /operator/v1/tickets Bearer t0ken {\"number\":17}"), asked);
        assertEquals("{\"accepted\":true}\n", out());
    }

    @Test
    void aTicketFromAFileIsPostedAndShownByItsNumber() throws IOException {
        Path file = Files.writeString(directory.resolve("t.json"), "{\"number\":17}");
        assertEquals(0, ask("ticket", "submit", file.toString()), err());
        assertEquals(0, ask("ticket", "show", "17"), err());
        assertEquals(
                List.of(
                        "POST /operator/v1/tickets Bearer t0ken {\"number\":17}",
                        "GET /operator/v1/tickets/17 Bearer t0ken "),
                asked);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "router",
                "agent",
                "check-settings",
                "ticket submit",
                "ticket show",
                "status",
                "timeline",
                "metrics",
                "key hash"
            })
    void theExampleInTheHelpCanBeRead(String command) {
        run((command + " --help").split(" "));
        String example = out().lines().reduce((before, last) -> last).orElseThrow();
        String[] words = example.replaceAll("^Example: damaskyoke | < .*$", "").split(" ");
        CommandLine.of(router, settings -> () -> {}).parse(words);
    }

    @Test
    void aRefusedTicketIsOneLineAndExitCodeOne() {
        status = 409;
        answer = "{\"error\":\n {\"code\":\"older\"}}";
        assertEquals(1, ask("ticket", "submit"));
        assertEquals(1, err().lines().count());
        assertTrue(err().contains("answered 409: {\"error\": {\"code\":\"older\"}}"), err());
    }

    @Test
    void aSubmitWithoutAnAnswerSaysThatItMayHaveBeenAccepted() {
        // The router accepts the ticket and goes down before it answers. The operator sees an
        // error, but the ticket holds; the line must not say that it was refused.
        server.stop(0);
        assertEquals(1, ask("ticket", "submit"));
        assertTrue(err().contains("may have accepted the ticket: submit the same one"), err());
    }

    @Test
    void theTimelineMergesAllProcessesAndNamesThoseThatAreSilent() {
        answers.put("processes", processes());
        answer =
                "{\"time\":1000,\"counter\":0,\"process\":\"r1\",\"type\":\"loaded\","
                        + "\"subject\":\"cut-sheet\",\"details\":{\"ms\":\"812\"}}\n";
        assertEquals(0, ask("timeline", "--model", "cut sheet", "--vm", "r1"));
        assertEquals("1970-01-01T00:00:01.000Z r1 loaded cut-sheet ms=812\n", out());
        assertEquals("GET /operator/v1/timeline?model=cut+sheet&vm=r1 Bearer t0ken ", asked.get(1));
        assertEquals(
                List.of(
                        "a1 did not answer: the list of VMs doesn't show it yet",
                        "a2 did not answer: http://127.0.0.1:1 can't be reached"
                                + " (ConnectException)"),
                err().lines().toList());
    }

    @Test
    void theStatusIsATableOfAllProcesses() {
        answers.put("processes", processes());
        answer =
                """
                {"vm":"r1","role":"router","availability_zone":"kochi-a","config_sequence":7,
                 "config_confirmed_ms_ago":1200,"store":"down","waiting":2,"running":3,
                 "draining":true,"agents":[{"vm":"a1"}]}
                """;
        assertEquals(0, ask("status"));
        Approvals.verify(out());
    }

    @Test
    void theStatusAsJsonHoldsWhatEachProcessSays() {
        answers.put("processes", processes());
        assertEquals(0, ask("status", "--json"));
        assertTrue(out().startsWith("{\"processes\":{\"r1\":{}},\"not_answering\":{\"a1\""), out());
    }

    @Test
    void aTokenComesFromAFileToo() throws IOException {
        Path token = Files.writeString(directory.resolve("token"), "t1ken\n");
        assertEquals(0, run("metrics", "--router", url(), "--token-file", token.toString()));
        assertEquals("GET /operator/v1/metrics Bearer t1ken ", asked.get(0));
    }

    @Test
    void aKeyIsHashedWithTheSecretOfTheSettings() {
        input = "sk-1\n";
        assertEquals(0, run("key", "hash", "--settings", ROUTER_FILE));
        assertEquals(KeyHasher.of(EXAMPLE_SECRET).hash("sk-1") + "\n", out());
    }

    @Test
    void theVersionIsTheBuilds() {
        assertEquals(0, run("version"));
        assertTrue(out().matches("damaskyoke \\d+\\.\\d+.*\n"), out());
    }

    private int ask(String... command) {
        List<String> words = new ArrayList<>(List.of(command));
        words.addAll(List.of("--router", url(), "--token", "t0ken"));
        return run(words.toArray(String[]::new));
    }

    private int run(String... arguments) {
        InputStream in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
        DaemonStarter<AgentSettings> agent = settings -> () -> {};
        return new Main(router, agent)
                .run(arguments, in, new PrintStream(out, true), new PrintStream(err, true));
    }

    private String processes() {
        return """
        [{"vm":"a1","role":"agent","state":"unlisted"},
         {"vm":"a2","role":"agent","state":"live","operator_url":"http://127.0.0.1:1"},
         {"vm":"r1","role":"router","state":"live","operator_url":"%s"}]
        """
                .formatted(url());
    }

    private String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private void respond(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String token = exchange.getRequestHeaders().getFirst("Authorization");
        asked.add(
                exchange.getRequestMethod()
                        + " "
                        + exchange.getRequestURI()
                        + " "
                        + token
                        + " "
                        + body);
        String path = exchange.getRequestURI().getPath();
        String last = path.substring(path.lastIndexOf('/') + 1);
        byte[] bytes = answers.getOrDefault(last, answer).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
