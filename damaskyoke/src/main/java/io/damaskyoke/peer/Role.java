package io.damaskyoke.peer;

import java.util.Locale;

/** What a process is to its peers. */
public enum Role {
    /** Meets callers and operators. */
    ROUTER,
    /** Stands beside an upstream. */
    AGENT;

    /** The role as the hello frame names it: {@code router}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
