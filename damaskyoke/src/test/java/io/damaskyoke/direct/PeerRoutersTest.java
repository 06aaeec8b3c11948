package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.peer.wire.StoreChanges;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.PolledStore.Changes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PeerRoutersTest {
    private static final int MAX_FRAME_BYTES = 1_000;

    // Guards against a router that waits for changes which its relay can't send, while an upstream
    // among them leaves.
    @Test
    void aFetchOfChangesThatNoFrameHoldsIsRefusedAtOnce() {
        List<Frame> sent = new ArrayList<>();
        PeerRouters.answerFetch(new NarrowLink(sent), 7, Optional.of(changeOf(MAX_FRAME_BYTES)));
        assertEquals(1, sent.size());
        StoreChanges answer = sent.get(0).getStoreChanges();
        assertEquals(7, answer.getNumber());
        assertTrue(answer.getRefused());
    }

    @Test
    void aFetchOfChangesIsAnsweredOnce() {
        List<Frame> sent = new ArrayList<>();
        PeerRouters.answerFetch(new NarrowLink(sent), 7, Optional.of(changeOf(1)));
        assertEquals(1, sent.size());
        assertEquals(1, sent.get(0).getStoreChanges().getChangesCount());
    }

    private static Changes changeOf(int bytes) {
        Entry entry = new Entry("k", new byte[bytes], 5, 1, 0);
        return new Changes(List.of(new Change("k", 5, Optional.of(entry))), 5);
    }

    /** Takes no frame that is larger than its limit, as a link to another process does. */
    private record NarrowLink(List<Frame> sent) implements PeerLink {
        @Override
        public Optional<Hello> remote() {
            return Optional.empty();
        }

        @Override
        public boolean send(Frame frame) {
            return frame.getSerializedSize() <= MAX_FRAME_BYTES && sent.add(frame);
        }

        @Override
        public boolean open() {
            return true;
        }

        @Override
        public boolean writable() {
            return true;
        }
    }
}
