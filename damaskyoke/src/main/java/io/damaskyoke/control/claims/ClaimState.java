package io.damaskyoke.control.claims;

/** How far a claimed request is. */
public enum ClaimState {
    /** It is on its way to its agent, or runs there. */
    CLAIMED,
    /** It ran and was answered; the answer never changes from here. */
    SETTLED,
    /** It may have run, and nobody can tell any more. */
    UNKNOWN,
    /** An agent's word that it surely did not run there and never will. */
    NOT_RUN
}
