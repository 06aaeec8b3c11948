package io.damaskyoke.daemons;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.damaskyoke.settings.Settings;
import java.util.ArrayList;
import java.util.List;

/** {@code help}: the commands, one of them, or the settings. */
@Parameters(commandDescription = "Print the commands, the help of one, or all settings.")
final class HelpCommand implements Command {
    private static final String SETTINGS = "settings";

    private final JCommander root;

    @Parameter(description = "[COMMAND | settings]")
    private List<String> path = new ArrayList<>();

    HelpCommand(JCommander root) {
        this.root = root;
    }

    @Override
    public int run(Console console) {
        if (path.equals(List.of(SETTINGS))) {
            console.out().print(Settings.page());
        } else {
            console.out().print(HelpText.of(find(), path));
        }
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke help ticket submit";
    }

    private JCommander find() {
        JCommander found = root;
        for (String name : path) {
            found = found.getCommands().get(name);
            if (found == null) {
                throw CommandException.usage("no such command: " + String.join(" ", path));
            }
        }
        return found;
    }
}
