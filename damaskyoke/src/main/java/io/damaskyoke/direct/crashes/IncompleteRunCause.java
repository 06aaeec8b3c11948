package io.damaskyoke.direct.crashes;

import java.util.Locale;

/** The reason why a run at an upstream ended without a complete answer. */
public enum IncompleteRunCause {
    /** The connection to the upstream broke. */
    BROKE,
    /** The caller disconnected, and this router closed the connection to the upstream. */
    CALLER_GONE,
    /** The request's time was up, and this router closed the connection to the upstream. */
    TIME_UP,
    /** The upstream sent nothing until the idle timeout, and this router closed the connection. */
    SILENT,
    /** The data received was not a complete, valid answer of the upstream. */
    GARBLED;

    /** Returns the value of the metric label: the constant's name in lower case. */
    String metricLabel() {
        return name().toLowerCase(Locale.ROOT);
    }
}
