package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** {@code ticket submit}: hands in a change ticket. */
@Parameters(
        commandDescription =
                "Submit a change ticket (JSON) from a file, or from standard input. Submitting"
                        + " the same ticket twice is safe.")
final class TicketSubmitCommand implements Command {
    @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

    @Parameter(description = "[FILE]")
    private List<Path> files = new ArrayList<>();

    @Override
    public int run(Console console) {
        OperatorClient client = operator.client();
        if (files.size() > 1) {
            throw CommandException.usage("one ticket at a time, found " + files.size() + " files");
        }
        String ticket = files.isEmpty() ? console.input() : read(files.get(0));
        console.out().println(client.post("tickets", ticket).strip());
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke ticket submit --router http://10.0.0.7:8081 --token-file token"
                + " ticket-17.json";
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw CommandException.usage(file + " can't be read");
        }
    }
}
