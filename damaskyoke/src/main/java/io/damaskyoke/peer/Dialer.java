package io.damaskyoke.peer;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Maintains the single connection of this process to one peer address, with backoff. */
final class Dialer {
    private final InstantSource clock;
    private final Backoff backoff;
    private final Supplier<NettyLink> newLink;
    private final BiConsumer<NettyLink, Duration> connect;
    private NettyLink current;
    private Instant openedAt;
    private boolean linkEnded = true;

    /**
     * Creates a dialer without a connection.
     *
     * @param newLink creates the next link, not yet connected
     * @param connect connects the link after the given wait, and ends it if connecting fails
     */
    Dialer(
            InstantSource clock,
            Backoff backoff,
            Supplier<NettyLink> newLink,
            BiConsumer<NettyLink, Duration> connect) {
        this.clock = clock;
        this.backoff = backoff;
        this.newLink = newLink;
        this.connect = connect;
    }

    /** Returns the current link, or a new one that is being connected if there is none. */
    synchronized NettyLink currentOrNewLink() {
        if (linkEnded) {
            begin();
        }
        return current;
    }

    /** Closes the current link, if any; the next call for a link opens another. */
    void close(PeerException why) {
        NettyLink present = currentLink();
        if (present != null) {
            present.close(why);
        }
    }

    private void begin() {
        linkEnded = false;
        openedAt = null;
        current = newLink.get();
        current.ready().thenRun(this::opened);
        current.whenEnded().thenRun(this::ended);
        connect.accept(current, backoff.remaining(clock.instant()));
    }

    private synchronized void opened() {
        openedAt = clock.instant();
    }

    private synchronized void ended() {
        Instant now = clock.instant();
        backoff.recordConnectionEnd(
                now, openedAt == null ? Duration.ZERO : Duration.between(openedAt, now));
        linkEnded = true;
    }

    private synchronized NettyLink currentLink() {
        return current;
    }
}
