package io.damaskyoke.http;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests and rejects those with an ambiguous length, which prevents request smuggling.
 *
 * <p>A request with both a Content-Length and a Transfer-Encoding, or with an unknown transfer
 * coding, may end elsewhere for the upstream than here: the upstream would run the rest as a
 * request that was never authorized. Such a request is marked as a decoding failure.
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
            refuse(message, "unknown transfer coding");
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static void refuse(HttpMessage message, String why) {
        message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(why)));
    }
}
