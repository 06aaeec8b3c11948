package io.damaskyoke.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A port on which nobody listens; it is bound, so that the system gives it to no other process. */
public final class ClosedPort implements AutoCloseable {
    private final Socket bound = new Socket();

    /** Takes a port. */
    public ClosedPort() {
        try {
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the address, where connections are refused. */
    public Endpoint endpoint() {
        return new Endpoint("127.0.0.1", bound.getLocalPort());
    }

    @Override
    public void close() {
        try {
            bound.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
