package io.damaskyoke.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Aggregates requests and leaves it to the connection when one that is refused is answered.
 *
 * <p>A refusal that is written on arrival may overtake the response to an earlier request of the
 * connection, and its caller would take the one for the other.
 */
final class OrderedAggregator extends HttpObjectAggregator {
    private final ServerConnection connection;

    OrderedAggregator(int maxBodyBytes, ServerConnection connection) {
        super(maxBodyBytes);
        this.connection = connection;
    }

    /** Returns a response that asks for the body, or null. */
    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        if (connection.anyCall()) {
            return null;
        }
        Object response = super.newContinueResponse(start, maxContentLength, pipeline);
        if (response instanceof FullHttpResponse full
                && full.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            connection.refuse(full.status());
            full.release();
            return null;
        }
        return response;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        connection.refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
}
