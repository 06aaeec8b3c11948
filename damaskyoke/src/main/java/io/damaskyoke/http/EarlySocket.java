package io.damaskyoke.http;

import io.damaskyoke.http.HttpException.Code;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * A socket that listens before there is a server: {@code EarlySocket.listen(address)}, and {@link
 * HttpServer#adopt} takes it over. It loads nothing but the virtual machine's own classes.
 */
public final class EarlySocket {
    /** Connections that may wait to be taken up. */
    private static final int BACKLOG = 1024;

    private static final long LOADED_NANOS = System.nanoTime();

    private EarlySocket() {}

    /** When this class was loaded, on {@link System#nanoTime()}: with the process's first step. */
    public static long loadedNanos() {
        return LOADED_NANOS;
    }

    /**
     * Listens at once.
     *
     * @throws HttpException BIND_FAILED if the address is taken
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
