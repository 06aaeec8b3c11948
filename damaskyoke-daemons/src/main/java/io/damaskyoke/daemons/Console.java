package io.damaskyoke.daemons;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Where a command reads and prints.
 *
 * @param in what is piped in
 * @param out results
 * @param err errors, one line each
 */
record Console(InputStream in, PrintStream out, PrintStream err) {

    /** All of the input as UTF-8 text. */
    String input() {
        try {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw CommandException.failed("standard input can't be read: " + e.getMessage());
        }
    }
}
