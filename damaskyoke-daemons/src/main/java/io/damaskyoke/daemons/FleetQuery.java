package io.damaskyoke.daemons;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Asks every process of a deployment the same thing: {@code FleetQuery.of(client).get("status",
 * Map.of())}. One router says who there is; whoever doesn't answer is named, not passed over.
 */
final class FleetQuery {
    private static final int AT_ONCE = 32;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final OperatorClient router;

    private FleetQuery(OperatorClient router) {
        this.router = router;
    }

    static FleetQuery of(OperatorClient router) {
        return new FleetQuery(router);
    }

    /** What one process said; {@code body} is null if it didn't answer, and {@code fault} why. */
    record Reply(String vm, String role, String state, String body, String fault) {
        boolean answered() {
            return body != null;
        }
    }

    /** The answers of all processes, in the order of their VMs. */
    List<Reply> get(String path, Map<String, String> query) {
        List<JsonNode> processes = processes();
        ExecutorService threads = Executors.newFixedThreadPool(AT_ONCE);
        try {
            List<Callable<Reply>> asks = new ArrayList<>();
            processes.forEach(process -> asks.add(() -> ask(process, path, query)));
            List<Reply> replies = new ArrayList<>();
            for (Future<Reply> each : threads.invokeAll(asks)) {
                replies.add(each.get());
            }
            return replies;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandException.failed("interrupted");
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            threads.shutdownNow();
        }
    }

    private List<JsonNode> processes() {
        try {
            JsonNode list = JSON.readTree(router.get("processes", Map.of()));
            List<JsonNode> processes = new ArrayList<>();
            list.forEach(processes::add);
            return processes;
        } catch (JsonProcessingException e) {
            throw CommandException.failed("the router's list of processes can't be read");
        }
    }

    private Reply ask(JsonNode process, String path, Map<String, String> query) {
        String url = process.path("operator_url").asText();
        if (url.isEmpty()) {
            return reply(process, null, "the list of VMs doesn't show it yet");
        }
        try {
            return reply(process, router.at(URI.create(url)).get(path, query), null);
        } catch (CommandException | IllegalArgumentException e) {
            return reply(process, null, e.getMessage());
        }
    }

    private static Reply reply(JsonNode process, String body, String fault) {
        return new Reply(
                process.path("vm").asText(),
                process.path("role").asText(),
                process.path("state").asText(),
                body,
                fault);
    }
}
