package io.damaskyoke.control.relay;

import io.damaskyoke.id.VmId;
import java.time.Instant;

/** What an {@link OutageConfirmation} wants done. */
public sealed interface OutageAction {
    /** Asks a router for its word; the answer carries the number. */
    record Ask(VmId router, long number) implements OutageAction {}

    /** As of then, no ticket beyond this entry had been accepted by any router. */
    record Confirm(long head, Instant asOf) implements OutageAction {}
}
