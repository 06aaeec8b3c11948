package io.damaskyoke.control.configuration;

/** What became of a ticket. */
public sealed interface TicketResult {
    /** The ticket's number. */
    long number();

    /**
     * The ticket is in the log, now or since an earlier try.
     *
     * @param sequence its place in the log
     * @param digest see {@link Ticket#digest()}
     */
    record Accepted(long number, long sequence, String digest) implements TicketResult {}

    /**
     * The ticket is refused.
     *
     * @param code why
     * @param message one sentence for people
     * @param outcomeKnown true if this try surely did not put it in the log; false if it may be
     *     there, so that the same ticket should be sent again
     */
    record Refused(long number, TicketException.Code code, String message, boolean outcomeKnown)
            implements TicketResult {}
}
