package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.damaskyoke.settings.RouterSettings;
import io.damaskyoke.settings.Settings;
import java.nio.file.Path;

/** {@code router}: runs a router. */
@Parameters(commandDescription = "Run a router until SIGTERM; a second SIGTERM ends it at once.")
final class RouterCommand implements Command {
    private final DaemonStarter<RouterSettings> starter;

    @Parameter(names = "--settings", description = "Settings file, TOML", required = true)
    private Path settingsFile;

    RouterCommand(DaemonStarter<RouterSettings> starter) {
        this.starter = starter;
    }

    @Override
    public int run(Console console) {
        RouterSettings settings = Settings.router(settingsFile);
        return DaemonProcess.run(settings.process(), starter, settings);
    }

    @Override
    public String example() {
        return "damaskyoke router --settings config/router.toml";
    }
}
