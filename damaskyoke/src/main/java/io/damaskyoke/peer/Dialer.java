package io.damaskyoke.peer;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Keeps the one connection of this process to one address. */
final class Dialer {
    private final InstantSource clock;
    private final Backoff backoff;
    private final Supplier<NettyLink> fresh;
    private final BiConsumer<NettyLink, Duration> open;
    private NettyLink current;
    private Instant openedAt;
    private boolean over = true;

    /**
     * A dialer without a connection.
     *
     * @param fresh makes the next link, not yet connected
     * @param open connects it after a wait, and ends it if that fails
     */
    Dialer(
            InstantSource clock,
            Backoff backoff,
            Supplier<NettyLink> fresh,
            BiConsumer<NettyLink, Duration> open) {
        this.clock = clock;
        this.backoff = backoff;
        this.fresh = fresh;
        this.open = open;
    }

    /** The present link; a fresh one, with its connection under way, if there is none. */
    synchronized NettyLink want() {
        if (over) {
            begin();
        }
        return current;
    }

    /** Closes the present link, if any; the next wish opens another. */
    void close(PeerException why) {
        NettyLink present = present();
        if (present != null) {
            present.close(why);
        }
    }

    private void begin() {
        over = false;
        openedAt = null;
        current = fresh.get();
        current.ready().thenRun(this::opened);
        current.over().thenRun(this::ended);
        open.accept(current, backoff.left(clock.instant()));
    }

    private synchronized void opened() {
        openedAt = clock.instant();
    }

    private synchronized void ended() {
        Instant now = clock.instant();
        backoff.ended(now, openedAt == null ? Duration.ZERO : Duration.between(openedAt, now));
        over = true;
    }

    private synchronized NettyLink present() {
        return current;
    }
}
