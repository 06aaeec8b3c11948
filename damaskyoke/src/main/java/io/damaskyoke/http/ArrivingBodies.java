package io.damaskyoke.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Counts the bodies of requests as they arrive on a connection, and drops what comes after a
 * request that is refused as there is no memory for it.
 */
final class ArrivingBodies extends ChannelInboundHandlerAdapter {
    private final ServerConnection connection;

    ArrivingBodies(ServerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (connection.isRefused() || !fits(message)) {
            ReferenceCountUtil.release(message);
            return;
        }
        context.fireChannelRead(message);
    }

    private boolean fits(Object message) {
        if (message instanceof HttpRequest request) {
            boolean readable = request.decoderResult().isSuccess();
            if (!connection.bodyBegins(readable ? HttpUtil.getContentLength(request, 0L) : 0)) {
                return false;
            }
        }
        if (message instanceof HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            return connection.bodyReceived(content.content().readableBytes(), last);
        }
        return true;
    }
}
