package io.damaskyoke.timeline;

import java.util.Locale;

/**
 * What can stand on the time line: changes of state, and what happens to single requests.
 *
 * <p>{@link #perRequest()} tells them apart, since requests come by the thousand and would push the
 * rare changes out of a common ring.
 */
public enum EventType {
    /** This process began to live. */
    STARTED,
    /** This process stops taking new work. */
    DRAINING,
    /** This process is done. */
    STOPPED,
    /** A ticket was accepted. */
    TICKET_ACCEPTED,
    /** A ticket was refused. */
    TICKET_REFUSED,
    /** A configuration came into force here. */
    IN_FORCE,
    /** The store could be reached again, or no longer. */
    STORE_UP,
    /** The store can't be reached. */
    STORE_DOWN,
    /** A peer came. */
    PEER_UP,
    /** A peer went. */
    PEER_DOWN,
    /** The placement lease was won. */
    LEASE_WON,
    /** The placement lease was lost. */
    LEASE_LOST,
    /** A right to hold a replica was granted. */
    RIGHT_GRANTED,
    /** A right to hold a replica was handed back. */
    RIGHT_RELEASED,
    /** A load began. */
    LOAD_BEGUN,
    /** A load ended well. */
    LOADED,
    /** A load failed. */
    LOAD_FAILED,
    /** A model was taken out of memory. */
    UNLOADED,
    /** An idempotent key was claimed. */
    CLAIMED(true),
    /** The outcome of a claim was written down. */
    CLAIM_SETTLED(true),
    /** A part of a workspace's rate or burst moved. */
    SHARE_MOVED,
    /** A request came in. */
    REQUEST(true),
    /** A request was handed to an upstream. */
    HANDED_OVER(true),
    /** A request was answered. */
    ANSWERED(true),
    /** A request was refused. */
    REFUSED(true);

    private final boolean perRequest;

    EventType() {
        this(false);
    }

    EventType(boolean perRequest) {
        this.perRequest = perRequest;
    }

    /** True if it happens to single requests, and so as often as requests come. */
    public boolean perRequest() {
        return perRequest;
    }

    /** The name as printed: {@code ticket-accepted}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
