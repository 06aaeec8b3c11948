package io.damaskyoke.peer;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import java.util.Optional;

/** One long-lived connection to another router or agent. */
public interface PeerLink {
    /** Returns the peer's hello frame; empty until it was received. */
    Optional<Hello> remote();

    /**
     * Returns the incarnation of the peer process; it changes with a restart at the same address.
     */
    default Optional<Incarnation> incarnation() {
        return remote().map(hello -> Incarnation.of(hello.getIncarnation()));
    }

    /**
     * Sends a frame, or returns at once if it can't be sent.
     *
     * @return false if the frame certainly did not leave this process; true if it may have arrived
     */
    boolean send(Frame frame);

    /** Returns true while frames can be sent. */
    boolean open();

    /** Returns false while the write buffer is so full that senders should wait. */
    boolean writable();
}
