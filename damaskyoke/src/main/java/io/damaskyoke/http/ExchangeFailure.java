package io.damaskyoke.http;

/** Why an exchange with a server failed, and whether the server may have received the request. */
public enum ExchangeFailure {
    /** No connection could be established. */
    NOT_CONNECTED(false),
    /** The connection was reset or closed before the response began. */
    BROKEN(true),
    /** The connection was reset or closed in the middle of the response. */
    CUT_SHORT(true),
    /** The bytes received are not a valid HTTP response. */
    GARBLED(true),
    /** The response's body is larger than the listener takes. */
    TOO_LARGE(true);

    private final boolean mayHaveArrived;

    ExchangeFailure(boolean mayHaveArrived) {
        this.mayHaveArrived = mayHaveArrived;
    }

    /** Returns false only if no byte of the request can have reached the server. */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }
}
