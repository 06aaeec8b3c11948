package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/** {@code status}: how the whole deployment fares. */
@Parameters(commandDescription = "Print the status of all processes, as a table or as JSON.")
final class StatusCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();

    @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

    @Parameter(names = "--json", description = "Print all that the processes say, as one object")
    private boolean json;

    @Override
    public int run(Console console) {
        Map<String, JsonNode> answers = new TreeMap<>();
        Map<String, String> silent = new TreeMap<>();
        for (FleetQuery.Reply reply : FleetQuery.of(operator.client()).get("status", Map.of())) {
            if (reply.answered()) {
                answers.put(reply.vm(), parse(reply));
            } else {
                silent.put(reply.vm(), reply.fault());
            }
        }
        console.out().print(json ? all(answers, silent) : StatusText.of(answers, silent));
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke status --router http://10.0.0.7:8081 --token-file token";
    }

    private static JsonNode parse(FleetQuery.Reply reply) {
        try {
            return JSON.readTree(reply.body());
        } catch (JsonProcessingException e) {
            throw CommandException.failed("the status of " + reply.vm() + " can't be read");
        }
    }

    private static String all(Map<String, JsonNode> answers, Map<String, String> silent) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("processes").setAll(answers);
        ObjectNode faults = root.putObject("not_answering");
        silent.forEach(faults::put);
        return root + "\n";
    }
}
