package io.damaskyoke.peer;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import java.util.Optional;

/** One long-lived connection to another router or agent. */
public interface PeerLink {
    /** What the other side said of itself; empty until its first frame has come. */
    Optional<Hello> remote();

    /** Which life of which process is at the other end; a restart at the same address differs. */
    default Optional<Incarnation> incarnation() {
        return remote().map(hello -> Incarnation.of(hello.getIncarnation()));
    }

    /**
     * Sends a frame, or says at once that it can't.
     *
     * @return false if the frame surely did not leave this process; true if it may have arrived
     */
    boolean send(Frame frame);

    /** True while frames can be sent. */
    boolean open();

    /** False while so much is waiting to be written that senders should hold back. */
    boolean writable();
}
