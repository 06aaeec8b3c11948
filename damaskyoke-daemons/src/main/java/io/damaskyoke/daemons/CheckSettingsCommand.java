package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.damaskyoke.settings.Settings;
import io.damaskyoke.settings.SettingsException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** {@code check-settings}: checks settings files without starting anything. */
@Parameters(commandDescription = "Check settings files and print every fault in them.")
final class CheckSettingsCommand implements Command {
    @Parameter(names = "--role", description = "Whose files: router or agent", required = true)
    private Role role;

    @Parameter(description = "FILE...", required = true)
    private List<Path> files = new ArrayList<>();

    /** The programs that read settings. */
    enum Role {
        ROUTER,
        AGENT
    }

    @Override
    public int run(Console console) {
        int exitCode = ExitCode.OK;
        for (Path file : files) {
            exitCode = Math.max(exitCode, check(file, console));
        }
        return exitCode;
    }

    @Override
    public String example() {
        return "damaskyoke check-settings --role router config/router.toml";
    }

    private int check(Path file, Console console) {
        try {
            read(file);
            console.out().println(file + ": good");
            return ExitCode.OK;
        } catch (SettingsException e) {
            e.faults().forEach(console.err()::println);
            return ExitCode.USAGE;
        }
    }

    private void read(Path file) {
        if (role == Role.ROUTER) {
            Settings.router(file);
        } else {
            Settings.agent(file);
        }
    }
}
