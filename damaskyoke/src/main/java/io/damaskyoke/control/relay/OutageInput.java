package io.damaskyoke.control.relay;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.Set;

/** What an {@link OutageConfirmation} hears. */
public sealed interface OutageInput {
    /** The platform's list, asked for at this moment, names these routers. */
    record Listed(Set<VmId> routers, Instant askedAt) implements OutageInput {}

    /** As of then, nothing newer than what is in force existed: the store or a peer says so. */
    record Confirmed(Instant asOf) implements OutageInput {}

    /** Time has passed; {@code self} is what this router would answer now. */
    record Tick(Word self) implements OutageInput {}

    /** A router, in this life of its, answered the ask with this number. */
    record Answered(VmId from, Incarnation life, long ask, Word word) implements OutageInput {}

    /**
     * What a router says of itself.
     *
     * @param head the last entry it has
     * @param settled whether none of its ticket writes is under way or of unknown outcome
     * @param confirmedInThisLife whether it has confirmed its configuration since it started
     */
    record Word(long head, boolean settled, boolean confirmedInThisLife) {}
}
