package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.settings.Settings;
import java.nio.file.Path;

/** {@code agent}: runs an agent. */
@Parameters(commandDescription = "Run an agent until SIGTERM; a second SIGTERM ends it at once.")
final class AgentCommand implements Command {
    private final DaemonStarter<AgentSettings> starter;

    @Parameter(names = "--settings", description = "Settings file, TOML", required = true)
    private Path settingsFile;

    AgentCommand(DaemonStarter<AgentSettings> starter) {
        this.starter = starter;
    }

    @Override
    public int run(Console console) {
        AgentSettings settings = Settings.agent(settingsFile);
        return DaemonProcess.run(settings.process(), starter, settings);
    }

    @Override
    public String example() {
        return "damaskyoke agent --settings config/agent.toml";
    }
}
