package io.damaskyoke.control.configuration;

import io.damaskyoke.DamaskyokeException;

/** Says why a ticket is refused; the message names the field or object. */
public final class TicketException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    private final transient Code code;

    /** Why a ticket is refused. */
    public enum Code {
        /** It is not the JSON of a ticket. */
        MALFORMED,
        /** It changes nothing. */
        EMPTY,
        /** It has a field that no ticket has. */
        UNKNOWN_FIELD,
        /** A field is missing or has a value that can't be. */
        BAD_VALUE,
        /** It names the same object twice. */
        DUPLICATE_OBJECT,
        /** It is larger than the log takes. */
        TOO_LARGE,
        /** It refers to, or removes, what does not exist. */
        UNKNOWN_OBJECT,
        /** It removes what others still refer to. */
        IN_USE,
        /** Two key ids have the same caller key. */
        KEY_TAKEN,
        /** A newer ticket has set one of its objects, or its number is too old to be told apart. */
        OUTDATED,
        /** Its number came before with other content. */
        NUMBER_REUSED,
        /** Too many tickets wait already, or too many others won the race for the log. */
        BUSY,
        /** The store can't be reached; the ticket surely was not accepted. */
        STORE_UNAVAILABLE,
        /** The ticket may have been accepted; send the same one again. */
        OUTCOME_UNKNOWN
    }

    public TicketException(Code code, String message) {
        this(code, message, null);
    }

    public TicketException(Code code, String message, Throwable cause) {
        super(code, message, cause);
        this.code = code;
    }

    /** Why the ticket is refused. */
    public Code code() {
        return code;
    }
}
