package io.damaskyoke.http;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** Notes when a loop reads its sockets, around the handler that does. */
final class SocketReads implements IoHandler {
    private IoHandler sockets;
    private boolean underWay;
    private long beganNanos = System.nanoTime();

    SocketReads over(IoHandler given) {
        sockets = given;
        return this;
    }

    /** True in the midst of a reading: some of what has come is read, and some is not. */
    boolean underWay() {
        return underWay;
    }

    /** When the last reading began: what came before is known, once it is over. */
    long beganNanos() {
        return beganNanos;
    }

    @Override
    public int run(IoHandlerContext context) {
        underWay = true;
        beganNanos = System.nanoTime();
        try {
            return sockets.run(context);
        } finally {
            underWay = false;
        }
    }

    @Override
    public void initialize() {
        sockets.initialize();
    }

    @Override
    public void prepareToDestroy() {
        sockets.prepareToDestroy();
    }

    @Override
    public void destroy() {
        sockets.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return sockets.register(handle);
    }

    @Override
    public void wakeup() {
        sockets.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return sockets.isCompatible(type);
    }
}
