package io.damaskyoke.daemons;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.damaskyoke.control.configuration.KeyHasher;
import io.damaskyoke.settings.Settings;
import java.nio.file.Path;

/** {@code key hash}: what a ticket holds of a caller key. */
@Parameters(
        commandDescription =
                "Hash a caller key, read from standard input, with the secret of a router's"
                        + " settings file; tickets hold this hash, never the key.")
final class KeyHashCommand implements Command {
    @Parameter(names = "--settings", description = "A router's settings file", required = true)
    private Path settingsFile;

    @Override
    public int run(Console console) {
        String secret = Settings.router(settingsFile).process().keySecret();
        String key = console.input().strip();
        if (key.isEmpty()) {
            throw CommandException.usage("no caller key on standard input");
        }
        console.out().println(KeyHasher.of(secret).hash(key));
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke key hash --settings config/router.toml < caller-key";
    }
}
