package io.damaskyoke.daemons;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** {@code version}: which build this is. */
@Parameters(commandDescription = "Print the version.")
final class VersionCommand implements Command {
    @Override
    public int run(Console console) {
        console.out().println("damaskyoke " + version());
        return ExitCode.OK;
    }

    @Override
    public String example() {
        return "damaskyoke version";
    }

    private static String version() {
        Properties properties = new Properties();
        try (InputStream in = VersionCommand.class.getResourceAsStream("version.properties")) {
            properties.load(in);
        } catch (IOException e) {
            throw CommandException.failed("the build's version can't be read");
        }
        return properties.getProperty("version");
    }
}
