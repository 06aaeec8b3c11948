package io.damaskyoke.daemons;

import static java.util.stream.Collectors.joining;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.UnixStyleUsageFormatter;
import java.util.List;
import java.util.stream.Stream;

/** Writes the help of the whole program, a group of commands, or one command. */
final class HelpText {
    private HelpText() {}

    /** The help of what these words name: nothing, a group, or a command. */
    static String of(JCommander commander, List<String> words) {
        String program =
                Stream.concat(Stream.of("damaskyoke"), words.stream()).collect(joining(" "));
        Object command = commander.getObjects().get(0);
        return command instanceof Command single
                ? one(commander, single, program)
                : group(commander, program);
    }

    private static String one(JCommander commander, Command command, String program) {
        StringBuilder text = new StringBuilder();
        new UnixStyleUsageFormatter(commander).usage(text);
        // JCommander finds commands by their program name, so it can't be the whole path.
        String usage = text.toString().replaceFirst("^Usage: \\S+", "Usage: " + program);
        return usage + "\nExample: " + command.example() + "\n";
    }

    private static String group(JCommander group, String program) {
        StringBuilder text = new StringBuilder("Usage: " + program + " COMMAND [options]\n\n");
        for (String name : group.getCommands().keySet()) {
            String purpose = group.getUsageFormatter().getCommandDescription(name);
            text.append(String.format("  %-15s %s%n", name, purpose));
        }
        text.append("\nOptions and an example: ").append(program).append(" COMMAND --help\n");
        return text.append("Exit codes: 0 done, 1 failed, 2 wrong usage or settings\n").toString();
    }
}
