package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** {@code timeline}: what happened, in order. */
@Parameters(commandDescription = "Print what happened at all processes, causes before effects.")
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

    @Parameter(names = "--since", description = "Only events since then: 90s, 5m, 2h ago")
    private String since;

    @Parameter(names = "--json", description = "Print one JSON object an event")
    private boolean json;

    @Override
    public int run(Console console) {
        List<FleetQuery.Reply> replies = FleetQuery.of(operator.client()).get("timeline", query());
        for (FleetQuery.Reply reply : replies) {
            if (!reply.answered()) {
                console.err().println(reply.vm() + " did not answer: " + reply.fault());
            }
        }
        String merged =
                TimelineMerge.of(
                        replies.stream()
                                .filter(FleetQuery.Reply::answered)
                                .map(FleetQuery.Reply::body)
                                .toList());
        console.out().print(json ? merged : TimelineText.of(merged));
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
        query.put("since", since == null ? null : Ago.millis(since, InstantSource.system()));
        query.values().removeIf(value -> value == null);
        return query;
    }
}
