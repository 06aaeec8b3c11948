package io.damaskyoke.peer;

import io.damaskyoke.peer.wire.Frame;

/** Receives the events of a process's links; called on network threads, in order for each link. */
public interface PeerListener {
    /** Called when a frame was received. */
    void received(PeerLink link, Frame frame);

    /** Called when both hello frames were exchanged. */
    default void opened(PeerLink link) {}

    /** Called when the link closed; frames sent last may not have arrived. */
    default void closed(PeerLink link) {}
}
