package io.damaskyoke.http;

/** Why a response, or the bytes of one, is taken for no request's. */
public enum UnmatchedAnswer {
    /** It names another request than the one that awaits a response. */
    OTHER_REQUEST,
    /** It names no request, and could be an extra response to an earlier one. */
    UNNAMED,
    /** It came while no request awaited a response. */
    NO_REQUEST
}
