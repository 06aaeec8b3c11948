package io.damaskyoke.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class IdleLinksTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final PeerAddress ONE = new PeerAddress(VmId.of("agent-1"), "127.0.0.1", 7401);
    private static final PeerAddress TWO = new PeerAddress(VmId.of("agent-2"), "127.0.0.1", 7402);

    private final List<PeerAddress> closed = new ArrayList<>();
    private final IdleLinks links = new IdleLinks(Duration.ofMinutes(1), closed::add);

    @Test
    void onlyTheLinkThatWasNotUsedRecentlyIsClosed() {
        links.recordUse(ONE, NOW);
        links.recordUse(TWO, NOW.plusSeconds(30));
        links.closeIdle(vm -> false, NOW.plusSeconds(60));
        assertEquals(List.of(ONE), closed);
    }

    // The link of a long stream counts as used only when the stream starts. If it were closed as
    // idle after a minute, the stream would be cut.
    @Test
    void aLinkWithARunningRequestIsNotClosed() {
        links.recordUse(ONE, NOW);
        links.closeIdle(ONE.vm()::equals, NOW.plusSeconds(120));
        assertEquals(List.of(), closed);
        links.closeIdle(vm -> false, NOW.plusSeconds(121));
        assertEquals(List.of(ONE), closed);
    }
}
