package io.damaskyoke.peer;

import java.util.Locale;

/** The role of a process in the fleet. */
public enum Role {
    /** Accepts requests of callers and operators. */
    ROUTER,
    /** Runs next to an upstream and passes requests to it. */
    AGENT;

    /** Returns the role as written in the hello frame: {@code router}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
