package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests what a request learns that was assigned to an upstream before the list lost it. */
class RemovedUpstreamTest {
    private static final UpstreamId ID = UpstreamId.of("u1");
    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    private final UpstreamTable table = new UpstreamTable();

    // Guards against a request that is sent to an upstream which was removed while the request's
    // connection was opened.
    @Test
    void anUpstreamThatWasRemovedIsClosedToRequestsAssignedBefore() {
        Upstream assigned = list(1);
        table.remove(ID, 2);
        assertFalse(assigned.maySend(NOW));
        assertTrue(table.departureOf(ID).orElseThrow().removed());
    }

    // Guards against such a request after the upstream was listed again, as its departure from then
    // on is told to another object.
    @Test
    void anUpstreamThatIsListedAgainStaysClosedToThem() {
        Upstream assigned = list(1);
        table.remove(ID, 2);
        Upstream listedAgain = list(3);
        assertFalse(assigned.maySend(NOW));
        assertTrue(listedAgain.maySend(NOW));
        assertTrue(table.departureOf(ID).isEmpty());
    }

    private Upstream list(long revision) {
        HeldModels none = new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, Map.of());
        table.put(TestFacts.of(ID.value(), revision, "service", 4, none), NOW);
        return table.find(ID).orElseThrow();
    }
}
