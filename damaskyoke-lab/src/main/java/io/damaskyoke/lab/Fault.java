package io.damaskyoke.lab;

import java.util.Locale;

/** What goes wrong in an experiment, from one third of its length to two thirds. */
public enum Fault {
    /** Nothing. */
    NONE,
    /** The key-value service does not answer. */
    STORE_OUT,
    /** The weight store serves at a quarter of its speed. */
    WEIGHTS_SLOW,
    /** A quarter of the workers is lost and comes back empty. */
    WORKERS_LOST,
    /** One router is killed, and one is frozen and thawed. */
    ROUTERS_LOST;

    /** The fault with this name on the command line. */
    public static Fault named(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /** The name on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
