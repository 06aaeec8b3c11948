package io.damaskyoke.control.configuration;

import io.damaskyoke.DamaskyokeException;

/** Thrown when a ticket is refused; the message names the field or object at fault. */
public final class TicketException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    private final transient Code code;

    /** The reasons for which a ticket is refused. */
    public enum Code {
        /** The bytes are not JSON of the form of a ticket. */
        MALFORMED,
        /** The ticket contains no change. */
        EMPTY,
        /** The ticket has a field that is not defined. */
        UNKNOWN_FIELD,
        /** A field is missing or has an invalid value. */
        BAD_VALUE,
        /** The ticket changes the same object twice. */
        DUPLICATE_OBJECT,
        /** The ticket exceeds {@link TicketParser#MAX_BYTES}. */
        TOO_LARGE,
        /** The ticket refers to, or removes, an object that does not exist. */
        UNKNOWN_OBJECT,
        /** The ticket removes an object that others still refer to. */
        IN_USE,
        /** Two key ids would have the same caller key. */
        KEY_TAKEN,
        /**
         * A newer ticket has set one of the objects, or the number is so low that it is no longer
         * known whether it was used.
         */
        OUTDATED,
        /** A ticket with the same number and other content was accepted before. */
        NUMBER_REUSED,
        /**
         * Too many tickets are queued, or too many attempts failed because other tickets were
         * accepted first.
         */
        BUSY,
        /** The store can't be reached; the ticket was not accepted. */
        STORE_UNAVAILABLE,
        /** The ticket may have been accepted; send the same one again. */
        OUTCOME_UNKNOWN
    }

    /** Creates a refusal without a cause. */
    public TicketException(Code code, String message) {
        this(code, message, null);
    }

    /** Creates a refusal with a cause. */
    public TicketException(Code code, String message, Throwable cause) {
        super(code, message, cause);
        this.code = code;
    }

    /** Returns the reason for which the ticket is refused. */
    public Code code() {
        return code;
    }
}
