package io.damaskyoke.control.configuration;

import io.damaskyoke.platform.PlatformException;

/**
 * Tracks whether the log may hold a ticket of this process that this process has not read back.
 *
 * <p>While it may, peers must not rely on where this process says the log ends: the ticket could
 * have withdrawn a key. A write of unknown outcome is settled once its sequence number is known to
 * be taken, by any process.
 */
final class PendingWrites {
    private long writingSequence;
    private long highestUncertainSequence;

    /** Records that the creation of the entry with this sequence number has started. */
    void writeStarted(long sequence) {
        writingSequence = sequence;
    }

    /**
     * Records that the store answered. Whose entry has the sequence number is known once the log is
     * applied that far.
     */
    void writeAnswered() {
        highestUncertainSequence = Math.max(highestUncertainSequence, writingSequence);
        writingSequence = 0;
    }

    /** Records that the write failed. It may still take effect unless the store was unavailable. */
    void writeFailed(PlatformException.Code code) {
        if (code != PlatformException.Code.UNAVAILABLE) {
            highestUncertainSequence = Math.max(highestUncertainSequence, writingSequence);
        }
        writingSequence = 0;
    }

    /** Returns true if no ticket of this process can be in the log beyond this sequence number. */
    boolean isSettled(long head) {
        return writingSequence == 0 && highestUncertainSequence <= head;
    }
}
