package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** {@code ticket show}: what became of a ticket. */
@Parameters(commandDescription = "Show a ticket by its number.")
final class TicketShowCommand implements Command {
    @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

    @Parameter(description = "NUMBER", required = true)
    private List<Long> numbers = new ArrayList<>();

    @Override
    public int run(Console console) {
        if (numbers.size() > 1) {
            throw CommandException.usage("one ticket at a time, found " + numbers);
        }
        String path = "tickets/" + numbers.get(0);
        console.out().println(operator.client().get(path, Map.of()).strip());
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke ticket show --router http://10.0.0.7:8081 --token-file token 17";
    }
}
