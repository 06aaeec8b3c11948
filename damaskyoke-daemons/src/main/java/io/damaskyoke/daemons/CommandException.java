package io.damaskyoke.daemons;

import io.damaskyoke.DamaskyokeException;

/** Says why a command didn't do its work; its message is the line that the operator sees. */
final class CommandException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    private final transient Code code;

    /** What went wrong. */
    enum Code {
        /** The command line is wrong. */
        USAGE,
        /** The work failed. */
        FAILED
    }

    private CommandException(Code code, String message) {
        super(code, message, null);
        this.code = code;
    }

    static CommandException usage(String message) {
        return new CommandException(Code.USAGE, message);
    }

    static CommandException failed(String message) {
        return new CommandException(Code.FAILED, message);
    }

    int exitCode() {
        return code == Code.USAGE ? ExitCode.USAGE : ExitCode.FAILED;
    }
}
