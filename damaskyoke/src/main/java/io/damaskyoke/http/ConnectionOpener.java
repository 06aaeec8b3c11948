package io.damaskyoke.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;

/** Opens a connection to a server, whose pipeline begins with the handler. */
@FunctionalInterface
interface ConnectionOpener {
    ChannelFuture open(Endpoint to, ChannelHandler handler);
}
