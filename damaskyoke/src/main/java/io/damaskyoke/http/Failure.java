package io.damaskyoke.http;

/** How an exchange with a server came to nothing, and whether the server may have acted on it. */
public enum Failure {
    /** No connection could be made. */
    NOT_CONNECTED(false),
    /** The connection was reset, or ended before the answer began. */
    BROKEN(true),
    /** The connection ended or was reset in the middle of the answer. */
    CUT_SHORT(true),
    /** What came back is no answer in the protocol. */
    GARBLED(true);

    private final boolean mayHaveArrived;

    Failure(boolean mayHaveArrived) {
        this.mayHaveArrived = mayHaveArrived;
    }

    /** False only if not a byte of the request can have reached the server. */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }
}
