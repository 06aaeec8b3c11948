package io.damaskyoke.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Locale;
import java.util.Optional;

/** Why a connection was closed from this side; the label of {@code peer_rejected}. */
enum Rejection {
    /** No whole first frame came within the time limit. */
    NO_HELLO,
    /** The other side went away before its first frame: a port scan or a crash. */
    GONE_BEFORE_HELLO,
    /** The first frame was something else. */
    NOT_HELLO,
    /** The other side speaks another version of the protocol. */
    VERSION,
    /** The hello lacks a part, or a part can't be right. */
    BAD_HELLO,
    /** Another VM has the address by now. */
    WRONG_VM,
    /** A frame longer than the limit was announced; so does most of what is no frame at all. */
    OVERSIZE,
    /** What came is not a frame. */
    UNDECODABLE;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** What an error of the decoders means; empty for an error of the connection itself. */
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
