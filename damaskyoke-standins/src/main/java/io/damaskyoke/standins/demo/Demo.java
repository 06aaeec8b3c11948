package io.damaskyoke.standins.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Sends the demo's requests and checks every answer.
 *
 * <p>{@code Demo check DIR TOKEN} registers the VMs, submits a ticket and sends requests; it exits
 * with 1 at the first wrong answer. {@code Demo facts DIR TOKEN} prints one JSON object for
 * scripts.
 */
public final class Demo {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, String> KEYS =
            Map.of("kitchens", "demo-key-kitchens", "leases", "demo-key-leases");
    private static final List<String> MODELS = List.of("cut-sheet", "tide-notes", "edge-profiles");
    private static final String SERVICE = "payments";
    private static final int WARM_REQUESTS = 200;
    private static final int READY_TRIES = 300;
    private static final long READY_PAUSE_MILLIS = 100;

    private final Facts facts;
    private final String token;
    private final PrintStream out;

    private Demo(Facts facts, String token, PrintStream out) {
        this.facts = facts;
        this.token = token;
        this.out = out;
    }

    /** Runs {@code check} or {@code facts}. */
    public static void main(String[] args) throws JsonProcessingException {
        if (args.length != 3) {
            System.err.println("usage: Demo check|facts DIR TOKEN");
            System.exit(2);
        }
        Demo demo = new Demo(Facts.read(Path.of(args[1])), args[2], System.out);
        try {
            if (args[0].equals("facts")) {
                demo.printFacts();
            } else {
                demo.check();
            }
        } catch (WrongAnswerException e) {
            System.err.println("demo: " + e.getMessage());
            System.exit(1);
        }
    }

    private void check() throws JsonProcessingException {
        registerVms();
        awaitReady();
        submitTicket();
        coldAndWarm();
        streamed();
        payment();
        refused();
    }

    private void registerVms() {
        for (String role : List.of("router", "agent")) {
            for (String name : facts.names(role + "-")) {
                ObjectNode vm = JSON.createObjectNode();
                vm.put("vm", name);
                vm.put("role", role);
                vm.put("availability_zone", facts.field(name, "availability_zone"));
                vm.put("address", "127.0.0.1");
                vm.put("peer_port", facts.port(name, "peer_port"));
                vm.put("operator_port", facts.port(name, "operator_port"));
                vm.put("state", "live");
                expect(200, Http.send("POST", facts.url("list") + "/vms", vm.toString()));
            }
        }
    }

    private void awaitReady() {
        for (String name : facts.names("router-")) {
            String url = facts.field(name, "operator_url") + "/health/ready";
            awaitTrue(name + " to be ready", () -> Http.send("GET", url, "").statusCode() == 200);
        }
    }

    private void submitTicket() {
        ObjectNode ticket = JSON.createObjectNode().put("number", 1);
        ArrayNode workspaces = ticket.putArray("workspaces");
        ArrayNode keys = ticket.putArray("keys");
        KEYS.forEach(
                (workspace, key) -> {
                    workspaces
                            .addObject()
                            .put("id", workspace)
                            .put("rate", 100_000)
                            .put("burst", 1_000_000);
                    keys.addObject()
                            .put("id", workspace + "-1")
                            .put("workspace", workspace)
                            .put("key", key)
                            .put("state", "granted");
                });
        ArrayNode models = ticket.putArray("models");
        for (String model : MODELS) {
            models.addObject()
                    .put("name", model)
                    .put("version", "1")
                    .put("pool", "engines")
                    .put("memory_bytes", 1_000_000)
                    .put("max_replicas", 1);
        }
        ticket.putArray("services").addObject().put("name", SERVICE).put("pool", SERVICE);
        String url = operatorUrl("router-1") + "/operator/v1/tickets";
        HttpResponse<String> answer =
                Http.send("POST", url, ticket.toString(), "Authorization", "Bearer " + token);
        expect(200, answer);
        out.println("ticket 1 accepted: " + answer.body().strip());
        for (String router : facts.names("router-")) {
            awaitTrue("ticket 1 to be in force at " + router, () -> modelsAt(router) == 200);
        }
    }

    private int modelsAt(String router) {
        String url = callerUrl(router) + "/v1/models";
        return Http.send("GET", url, "", "Authorization", bearer("kitchens")).statusCode();
    }

    private void coldAndWarm() throws JsonProcessingException {
        String body = chat("cut-sheet", "two sinks and one hob", false);
        String url = callerUrl("router-1") + "/v1/chat/completions";
        long before = System.nanoTime();
        HttpResponse<String> cold =
                Http.send("POST", url, body, "Authorization", bearer("kitchens"));
        double coldMillis = millisSince(before);
        expect(200, cold);
        String content =
                JSON.readTree(cold.body()).at("/choices/0/message/content").asText().strip();
        expectEqual("two sinks and one hob", content);
        out.printf("cold request: %.1f ms, answer: %s%n", coldMillis, content);
        String engine = engineThatLoaded("cut-sheet");
        double through = median(url, body);
        double direct = median(engine + "/v1/chat/completions", body);
        out.printf(
                "warm request: p50 %.2f ms through router and agent, %.2f ms directly, "
                        + "overhead %.2f ms (%d each)%n",
                through, direct, through - direct, WARM_REQUESTS);
    }

    private String engineThatLoaded(String model) throws JsonProcessingException {
        for (String engine : facts.names("engine-")) {
            String listed = Http.send("GET", facts.url(engine) + "/v1/models", "").body();
            if (listed.contains(model)) {
                return facts.url(engine);
            }
        }
        throw new WrongAnswerException("no engine has " + model + " loaded");
    }

    private double median(String url, String body) {
        double[] millis = new double[WARM_REQUESTS];
        for (int i = 0; i < WARM_REQUESTS; i++) {
            long before = System.nanoTime();
            expect(200, Http.send("POST", url, body, "Authorization", bearer("kitchens")));
            millis[i] = millisSince(before);
        }
        Arrays.sort(millis);
        return millis[WARM_REQUESTS / 2];
    }

    private void streamed() {
        String url = callerUrl("router-2") + "/v1/chat/completions";
        String body = chat("tide-notes", "low water at noon", true);
        HttpResponse<String> answer =
                Http.send("POST", url, body, "Authorization", bearer("leases"));
        expect(200, answer);
        long events = answer.body().lines().filter(line -> line.startsWith("data: ")).count();
        if (!answer.body().strip().endsWith("data: [DONE]") || events < 5) {
            throw new WrongAnswerException("the stream is not whole: " + answer.body());
        }
        out.println("streamed request: " + events + " events, the last one [DONE]");
    }

    private void payment() throws JsonProcessingException {
        String url = callerUrl("router-2") + "/v1/services/" + SERVICE + "/pay";
        String body = "{\"lease\":\"north-bed-7\",\"amount\":125000}";
        HttpResponse<String> answer =
                Http.send(
                        "POST",
                        url,
                        body,
                        "Authorization",
                        bearer("leases"),
                        "Idempotency-Key",
                        "lease-north-bed-7-december");
        expect(200, answer);
        expectEqual(body, answer.body());
        JsonNode log = JSON.readTree(Http.send("GET", facts.url(SERVICE) + "/log", "").body());
        expectEqual("1", String.valueOf(log.size()));
        if (log.toString().contains(KEYS.get("leases"))) {
            throw new WrongAnswerException("the upstream saw the caller's key");
        }
        out.println("payment: run once, the upstream saw no caller key");
    }

    private void refused() {
        String url = callerUrl("router-1") + "/v1/chat/completions";
        String body = chat("no-such-model", "anything", false);
        HttpResponse<String> unknown =
                Http.send("POST", url, body, "Authorization", bearer("kitchens"));
        expect(404, unknown);
        expect(401, Http.send("POST", url, body, "Authorization", "Bearer not-a-key"));
        out.println("refused request: " + unknown.body().strip());
    }

    private void printFacts() throws JsonProcessingException {
        ObjectNode all = JSON.createObjectNode();
        ArrayNode routers = all.putArray("routers");
        ArrayNode operators = all.putArray("operator");
        for (String router : facts.names("router-")) {
            routers.add(callerUrl(router));
            operators.add(operatorUrl(router));
        }
        all.put("operator_token", token);
        ObjectNode keys = all.putObject("keys");
        KEYS.forEach(keys::put);
        ArrayNode models = all.putArray("models");
        MODELS.forEach(models::add);
        all.putArray("services").add(SERVICE);
        ObjectNode pids = all.putObject("pids");
        facts.names("").forEach(name -> pids.put(name, facts.pid(name)));
        ObjectNode logs = all.putObject("logs");
        facts.names("engine-").forEach(name -> logs.put(name, facts.url(name) + "/log"));
        logs.put(SERVICE, facts.url(SERVICE) + "/log");
        out.println(JSON.writeValueAsString(all));
    }

    private String callerUrl(String router) {
        return facts.field(router, "caller_url");
    }

    private String operatorUrl(String process) {
        return facts.field(process, "operator_url");
    }

    private static String bearer(String workspace) {
        return "Bearer " + KEYS.get(workspace);
    }

    private static String chat(String model, String text, boolean stream) {
        ObjectNode body = JSON.createObjectNode().put("model", model).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        return body.toString();
    }

    private static void awaitTrue(String what, java.util.function.BooleanSupplier condition) {
        for (int i = 0; i < READY_TRIES; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            try {
                Thread.sleep(READY_PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        throw new WrongAnswerException("waited in vain for " + what);
    }

    private static void expect(int status, HttpResponse<String> answer) {
        if (answer.statusCode() != status) {
            throw new WrongAnswerException(
                    answer.uri() + " gave " + answer.statusCode() + ": " + answer.body());
        }
    }

    private static void expectEqual(String wanted, String found) {
        if (!wanted.equals(found)) {
            throw new WrongAnswerException("expected " + wanted + " and got " + found);
        }
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1e6;
    }
}
