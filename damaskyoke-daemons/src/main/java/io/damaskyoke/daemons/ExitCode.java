package io.damaskyoke.daemons;

/** The exit codes that scripts rely on. */
final class ExitCode {
    /** The work is done. */
    static final int OK = 0;

    /** The work failed. */
    static final int FAILED = 1;

    /** The command line or a settings file is wrong; nothing was done. */
    static final int USAGE = 2;

    private ExitCode() {}
}
