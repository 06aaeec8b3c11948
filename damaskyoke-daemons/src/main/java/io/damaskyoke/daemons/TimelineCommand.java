package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.Map;
import java.util.TreeMap;

/** {@code timeline}: what happened, in order. */
@Parameters(commandDescription = "Print the time line of events, oldest first.")
final class TimelineCommand implements Command {
    @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

    @Parameter(names = "--request", description = "Only events of this request id")
    private String request;

    @Parameter(names = "--workspace", description = "Only events of this workspace")
    private String workspace;

    @Parameter(names = "--model", description = "Only events of this model")
    private String model;

    @Parameter(names = "--vm", description = "Only events of the process on this VM")
    private String vm;

    @Parameter(names = "--json", description = "Print the router's JSON as it is")
    private boolean json;

    @Override
    public int run(Console console) {
        String answer = operator.client().get("timeline", query());
        console.out().print(json ? answer.strip() + "\n" : TimelineText.of(answer));
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke timeline --router http://10.0.0.7:8081 --token-file token"
                + " --model cut-sheet";
    }

    private Map<String, String> query() {
        Map<String, String> query = new TreeMap<>();
        query.put("request", request);
        query.put("workspace", workspace);
        query.put("model", model);
        query.put("vm", vm);
        query.values().removeIf(value -> value == null);
        return query;
    }
}
