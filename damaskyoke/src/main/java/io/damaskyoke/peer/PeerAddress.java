package io.damaskyoke.peer;

import io.damaskyoke.id.VmId;

/** Where the process on a VM listens for its peers. */
public record PeerAddress(VmId vm, String host, int port) {
    /** Refuses a port that can't be. */
    public PeerAddress {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port must be 1 to 65535: " + port);
        }
    }
}
