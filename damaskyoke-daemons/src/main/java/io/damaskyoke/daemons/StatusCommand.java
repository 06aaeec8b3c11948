package io.damaskyoke.daemons;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.Map;

/** {@code status}: how a router fares. */
@Parameters(commandDescription = "Print the status of a router, as JSON.")
final class StatusCommand implements Command {
    @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

    @Override
    public int run(Console console) {
        console.out().println(operator.client().get("status", Map.of()).strip());
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke status --router http://10.0.0.7:8081 --token-file token";
    }
}
