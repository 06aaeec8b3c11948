package io.damaskyoke.peer;

import io.damaskyoke.DamaskyokeException;

/** Thrown when a peer link can't be opened; no frame was sent. */
public final class PeerException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** The reason of the failure. */
    public enum Code {
        /** This process can't listen on its port; most often another process uses it. */
        BIND_FAILED,
        /** The peer can't be reached. */
        UNREACHABLE,
        /** The other end is not a peer of this fleet, speaks another version, or is another VM. */
        REJECTED,
        /** This process has closed its network. */
        CLOSED
    }

    public PeerException(Code code, String message) {
        this(code, message, null);
    }

    public PeerException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
