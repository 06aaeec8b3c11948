package io.damaskyoke.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Locale;
import java.util.Optional;

/** Why a connection was closed from this side; the label of {@code peer_rejected}. */
enum Rejection {
    /** No complete first frame was received within the timeout. */
    NO_HELLO,
    /** The other end disconnected before its first frame: a port scan or a crash. */
    GONE_BEFORE_HELLO,
    /** The first frame was not a hello frame. */
    NOT_HELLO,
    /** The peer speaks another version of the protocol. */
    VERSION,
    /** A field of the hello frame is missing or invalid. */
    BAD_HELLO,
    /** Another VM now has the address. */
    WRONG_VM,
    /** The length prefix exceeds the limit; most data that is not a frame shows as this, too. */
    OVERSIZE,
    /** The received bytes can't be decoded as a frame. */
    UNDECODABLE;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the rejection for a decoder error; empty for an error of the connection itself. */
    static Optional<Rejection> of(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return Optional.of(OVERSIZE);
        }
        boolean codec =
                cause instanceof DecoderException
                        || cause instanceof InvalidProtocolBufferException;
        return codec ? Optional.of(UNDECODABLE) : Optional.empty();
    }
}
