package io.damaskyoke.daemons;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.settings.RouterSettings;

/** The tree of commands, and the one that a command line names. */
final class CommandLine {
    private final JCommander root;

    private CommandLine(JCommander root) {
        this.root = root;
    }

    static CommandLine of(
            DaemonStarter<RouterSettings> router, DaemonStarter<AgentSettings> agent) {
        JCommander root = new JCommander(new Group());
        root.setProgramName("damaskyoke");
        add(root, "router", new RouterCommand(router));
        add(root, "agent", new AgentCommand(agent));
        add(root, "check-settings", new CheckSettingsCommand());
        JCommander ticket = add(root, "ticket", new TicketGroup());
        add(ticket, "submit", new TicketSubmitCommand());
        add(ticket, "show", new TicketShowCommand());
        add(root, "status", new StatusCommand());
        add(root, "timeline", new TimelineCommand());
        add(root, "metrics", new MetricsCommand());
        JCommander key = add(root, "key", new KeyGroup());
        add(key, "hash", new KeyHashCommand());
        add(root, "version", new VersionCommand());
        add(root, "help", new HelpCommand(root));
        return new CommandLine(root);
    }

    /** The command named, with its options filled in. */
    Command parse(String... arguments) {
        root.parse(arguments);
        JCommander found = root;
        while (found.getParsedCommand() != null) {
            found = found.getCommands().get(found.getParsedCommand());
        }
        if (found.getObjects().get(0) instanceof Command command) {
            return command;
        }
        throw CommandException.usage("no command given; see damaskyoke help");
    }

    private static JCommander add(JCommander parent, String name, Object command) {
        parent.addCommand(name, command);
        return parent.getCommands().get(name);
    }

    /** The top of the tree. */
    private static final class Group {}

    @Parameters(commandDescription = "Submit and show change tickets.")
    private static final class TicketGroup {}

    @Parameters(commandDescription = "Work with caller keys.")
    private static final class KeyGroup {}
}
