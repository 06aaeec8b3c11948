package io.damaskyoke.peer;

import io.damaskyoke.id.VmId;

/** The address at which the process on a VM listens for its peers. */
public record PeerAddress(VmId vm, String host, int port) {
    /** Rejects a port outside 1 to 65535. */
    public PeerAddress {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port must be 1 to 65535: " + port);
        }
    }
}
