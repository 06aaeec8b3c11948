package io.damaskyoke.direct;

import java.util.Locale;

/** How a run at an upstream came to its end without a whole answer. */
enum Cut {
    /** Its connection broke. */
    BROKE,
    /** Its caller has left, and this router closed the connection. */
    CALLER_GONE,
    /** Its time was over, and this router closed the connection. */
    TIME_UP,
    /** Nothing came for so long that this router closed the connection. */
    SILENT,
    /** What came was no whole answer of the upstream. */
    GARBLED;

    /** Its name on the metrics page. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
