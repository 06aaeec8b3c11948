package io.damaskyoke.daemons;

/** One command of the command line; JCommander fills in its options. */
interface Command {

    /** Does the work and gives the exit code; prints to the console only. */
    int run(Console console);

    /** A whole command line that works, for the help. */
    String example();
}
