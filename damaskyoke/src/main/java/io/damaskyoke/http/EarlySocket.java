package io.damaskyoke.http;

import io.damaskyoke.http.HttpException.Code;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens a server socket before the HTTP server is ready: {@code EarlySocket.listen(address)};
 * {@link HttpServer#adopt} takes the socket over. It uses only classes of the JDK, so that it
 * listens before anything else is loaded.
 */
public final class EarlySocket {
    /** The number of connections that may wait to be accepted. */
    private static final int BACKLOG = 1024;

    private static final long LOADED_NANOS = System.nanoTime();

    private EarlySocket() {}

    /**
     * Returns when this class was loaded, in nanoseconds of {@link System#nanoTime()}; it is loaded
     * by the first step of the process.
     */
    public static long loadedNanos() {
        return LOADED_NANOS;
    }

    /**
     * Opens a non-blocking socket that listens on the address.
     *
     * @throws HttpException BIND_FAILED if the address can't be bound
     */
    public static ServerSocketChannel listen(InetSocketAddress at) {
        try {
            ServerSocketChannel socket = ServerSocketChannel.open();
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(at, BACKLOG);
            socket.configureBlocking(false);
            return socket;
        } catch (IOException e) {
            throw new HttpException(Code.BIND_FAILED, "can't listen on " + at, e);
        }
    }
}
