package io.damaskyoke.control.loads;

/** An upstream's answer to an order. */
public enum OrderOutcome {
    /** The order is being carried out. */
    ACCEPTED,
    /** The requested state held already, or the order was carried out at once. */
    DONE,
    /**
     * The upstream carries out another order, or has accepted orders that this router does not know
     * of.
     */
    CONFLICT,
    /** The upstream has seen a higher fencing token than this router's. */
    FENCED,
    /** The answering process is another upstream, or cannot make sense of the order. */
    REFUSED,
    /** No answer: the order may have been accepted, or may be carried out seconds later. */
    UNKNOWN
}
