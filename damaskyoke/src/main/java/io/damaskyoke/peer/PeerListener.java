package io.damaskyoke.peer;

import io.damaskyoke.peer.wire.Frame;

/** Hears what happens on the links of a process; called on traffic threads, in order for a link. */
public interface PeerListener {
    /** A frame came from the other side. */
    void received(PeerLink link, Frame frame);

    /** Both sides have said hello. */
    default void opened(PeerLink link) {}

    /** The link is gone; nothing more will come, and what was sent last may not have arrived. */
    default void closed(PeerLink link) {}
}
