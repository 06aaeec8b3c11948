package io.damaskyoke.peer;

import io.damaskyoke.DamaskyokeException;

/** Says that a link could not be had. No frame was sent where this is thrown. */
public final class PeerException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** The own port can't be listened on; most often another process has it. */
        BIND_FAILED,
        /** The peer can't be reached. */
        UNREACHABLE,
        /** The other side is no peer of this fleet, speaks another version, or is another VM. */
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
