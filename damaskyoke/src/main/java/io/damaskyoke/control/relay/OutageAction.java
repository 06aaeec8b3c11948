package io.damaskyoke.control.relay;

import io.damaskyoke.id.VmId;
import java.time.Instant;

/** Actions that an {@link OutageConfirmation} asks its caller to carry out. */
public sealed interface OutageAction {
    /** Asks a router for its state; the answer carries the number. */
    record AskRouter(VmId router, long number) implements OutageAction {}

    /**
     * Confirms that, as of this time, no ticket beyond this entry had been accepted by any router.
     *
     * @param head the sequence number of the last entry
     */
    record Confirm(long head, Instant asOf) implements OutageAction {}
}
