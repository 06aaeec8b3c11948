package io.damaskyoke.daemons;

import com.beust.jcommander.ParameterException;
import io.damaskyoke.DamaskyokeException;
import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.settings.RouterSettings;
import io.damaskyoke.settings.SettingsException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * The program {@code damaskyoke}.
 *
 * <p>Results go to standard output, errors to standard error, one line each. The exit code is 0
 * when the work is done, 1 when it failed, and 2 when the command line or a settings file is wrong.
 */
public final class Main {
    private final DaemonStarter<RouterSettings> router;
    private final DaemonStarter<AgentSettings> agent;

    Main(DaemonStarter<RouterSettings> router, DaemonStarter<AgentSettings> agent) {
        this.router = router;
        this.agent = agent;
    }

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /** Runs the command line, reading from standard input, and gives its exit code. */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        return new Main(Starters.ROUTER, Starters.AGENT).run(arguments, System.in, out, err);
    }

    int run(String[] arguments, InputStream in, PrintStream out, PrintStream err) {
        try {
            Command command = CommandLine.of(router, agent).parse(withHelpFirst(arguments));
            return command.run(new Console(in, out, err));
        } catch (ParameterException e) {
            err.println("damaskyoke: " + oneLine(e.getMessage()) + "; see damaskyoke help");
            return ExitCode.USAGE;
        } catch (SettingsException e) {
            e.faults().forEach(err::println);
            return ExitCode.USAGE;
        } catch (CommandException e) {
            err.println("damaskyoke: " + e.getMessage());
            return e.exitCode();
        } catch (DamaskyokeException e) {
            err.println("damaskyoke: " + e.codeName() + ": " + oneLine(e.getMessage()));
            return ExitCode.FAILED;
        } catch (RuntimeException e) {
            err.println("damaskyoke: " + oneLine(e.toString()));
            return ExitCode.FAILED;
        }
    }

    /** Turns {@code ticket submit --help}, and nothing at all, into the help command. */
    private static String[] withHelpFirst(String... arguments) {
        List<String> words = new ArrayList<>(List.of(arguments));
        boolean asked = words.removeIf(word -> word.equals("--help") || word.equals("-h"));
        if (!asked && !words.isEmpty()) {
            return arguments;
        }
        List<String> help = new ArrayList<>(List.of("help"));
        words.stream().takeWhile(word -> !word.startsWith("-")).forEach(help::add);
        return help.toArray(String[]::new);
    }

    private static String oneLine(String message) {
        return String.valueOf(message).replaceAll("\\s+", " ").strip();
    }
}
