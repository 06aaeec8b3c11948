package io.damaskyoke.control.loads;

/** What an upstream answered to an order. */
public enum OrderOutcome {
    /** It is being carried out. */
    ACCEPTED,
    /** It holds already, or was carried out at once. */
    DONE,
    /** Another order is under way there, or the upstream has accepted orders that we don't know. */
    CONFLICT,
    /** It has seen a higher fencing token than ours. */
    FENCED,
    /** It is another upstream, or can't make sense of the order. */
    REFUSED,
    /** No answer: it may have been accepted, or may be carried out seconds later. */
    UNKNOWN
}
