package io.damaskyoke.daemons;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.Map;

/** {@code metrics}: the counters of a router. */
@Parameters(commandDescription = "Print the metrics of a router, in Prometheus' text form.")
final class MetricsCommand implements Command {
    @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

    @Override
    public int run(Console console) {
        console.out().print(operator.client().get("metrics", Map.of()));
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke metrics --router http://10.0.0.7:8081 --token-file token";
    }
}
