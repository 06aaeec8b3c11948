package io.damaskyoke.daemons;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Passes connections on to a port of loopback, and keeps all bytes that went by. */
final class WireTap implements AutoCloseable {
    private final int target;
    private final ServerSocket server;
    private final ByteArrayOutputStream seen = new ByteArrayOutputStream();

    WireTap(int target) {
        this.target = target;
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** All bytes of both directions; text in them reads as text. */
    synchronized String seen() {
        return seen.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket from = server.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
                daemon(() -> pump(from, to));
                daemon(() -> pump(to, from));
            }
        } catch (IOException e) {
            // The tap was closed, or its target is gone: no more connections.
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                keep(buffer, read);
                out.write(buffer, 0, read);
            }
        } catch (IOException e) {
            // One side closed; the other is closed with it.
        }
    }

    private synchronized void keep(byte[] buffer, int length) {
        seen.write(buffer, 0, length);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "wire-tap");
        thread.setDaemon(true);
        thread.start();
    }
}
