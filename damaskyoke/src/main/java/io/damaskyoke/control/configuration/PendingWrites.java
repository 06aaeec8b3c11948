package io.damaskyoke.control.configuration;

import io.damaskyoke.platform.PlatformException;

/**
 * Whether a ticket of this process may stand in the log without this process knowing it.
 *
 * <p>While it may, peers must not count on this process's word that the log ends where it says: the
 * ticket could have withdrawn a key. A write of unknown outcome is settled once its place in the
 * log is known to be taken, by whomever.
 */
final class PendingWrites {
    private long underWay;
    private long unknown;

    /** An entry is being created at this place. */
    void begun(long place) {
        underWay = place;
    }

    /** The store answered; who stands at the place is known once the log is followed that far. */
    void answered() {
        unknown = Math.max(unknown, underWay);
        underWay = 0;
    }

    /** The store did not answer. */
    void failed(PlatformException.Code code) {
        if (code != PlatformException.Code.UNAVAILABLE) {
            unknown = Math.max(unknown, underWay);
        }
        underWay = 0;
    }

    /** True if nothing of this process can stand beyond this entry. */
    boolean settled(long head) {
        return underWay == 0 && unknown <= head;
    }
}
