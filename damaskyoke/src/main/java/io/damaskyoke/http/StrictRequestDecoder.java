package io.damaskyoke.http;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Reads requests whose length can be understood in one way only.
 *
 * <p>A request with both a length and chunks, or with a transfer coding that isn't known, may end
 * elsewhere for the upstream than here: the rest would run there as a request that nobody was
 * checked for. Such a request is marked as unreadable.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        super.handleTransferEncodingChunkedWithContentLength(message);
        refuse(message, "both Content-Length and Transfer-Encoding");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
        if (!codings.isEmpty() && !chunked) {
            refuse(message, "a transfer coding that is not known");
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static void refuse(HttpMessage message, String why) {
        message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(why)));
    }
}
