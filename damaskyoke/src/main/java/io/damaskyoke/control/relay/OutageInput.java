package io.damaskyoke.control.relay;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.Set;

/** Events that an {@link OutageConfirmation} reacts to. */
public sealed interface OutageInput {
    /** The platform's VM list, requested at {@code askedAt}, contains these routers. */
    record RoutersListed(Set<VmId> routers, Instant askedAt) implements OutageInput {}

    /**
     * The store or a peer confirmed that, as of this time, nothing newer than the configuration in
     * force existed.
     */
    record Confirmed(Instant asOf) implements OutageInput {}

    /**
     * Time has passed.
     *
     * @param ownState the state that this router would answer now
     */
    record Tick(RouterState ownState) implements OutageInput {}

    /**
     * A router answered a question.
     *
     * @param from the router's VM
     * @param incarnation the incarnation of the router that answered
     * @param number the number of the question
     * @param state the state that it answered
     */
    record RouterAnswered(VmId from, Incarnation incarnation, long number, RouterState state)
            implements OutageInput {}

    /**
     * The state that a router reports of itself.
     *
     * @param head the sequence number of the last entry that it has
     * @param settled true if none of its ticket writes is pending or of unknown outcome
     * @param confirmedInThisIncarnation true if it has confirmed its configuration since it started
     */
    record RouterState(long head, boolean settled, boolean confirmedInThisIncarnation) {}
}
