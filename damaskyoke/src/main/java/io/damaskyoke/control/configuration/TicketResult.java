package io.damaskyoke.control.configuration;

/** The outcome of a ticket submission. */
public sealed interface TicketResult {
    /** Returns the number of the ticket. */
    long number();

    /**
     * The ticket is in the log, through this submission or an earlier one.
     *
     * @param number the number of the ticket
     * @param sequence its sequence number in the log
     * @param digest its digest, see {@link Ticket#digest()}
     */
    record Accepted(long number, long sequence, String digest) implements TicketResult {}

    /**
     * The ticket is refused.
     *
     * @param number the number of the ticket
     * @param code the reason
     * @param message the reason as a sentence for people
     * @param outcomeKnown true if this submission has certainly not written the ticket to the log;
     *     false if it may be there, so that the same ticket should be sent again
     */
    record Refused(long number, TicketException.Code code, String message, boolean outcomeKnown)
            implements TicketResult {}
}
