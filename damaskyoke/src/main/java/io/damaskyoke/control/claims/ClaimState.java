package io.damaskyoke.control.claims;

/** The progress of a claimed request. */
public enum ClaimState {
    /** The request is in transit to its agent or runs there. */
    CLAIMED,
    /** The request ran and was answered; the recorded answer never changes. */
    SETTLED,
    /** The request may have run, and its outcome can no longer be determined. */
    UNKNOWN,
    /** The agent reported that the request did not run and never will. */
    NOT_RUN
}
