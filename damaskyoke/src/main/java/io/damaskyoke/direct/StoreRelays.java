package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Reads the store's changes through relays, the routers that watch the store, one relay at a time.
 * A relay that does not answer or has no answer is skipped for a while; if none is left, the router
 * asks the store itself. Control thread only.
 */
final class StoreRelays implements Relay {
    /** Added to the wait, for the round trip of the frames and a relay's thread that runs late. */
    private static final Duration ANSWER = Duration.ofMillis(300);

    /** By then a killed relay is no longer listed, and a frozen one may have recovered. */
    private static final Duration LEFT_ALONE = Duration.ofSeconds(2);

    private final ControlThread control;
    private final Supplier<List<VmId>> sources;
    private final Wire wire;
    private final Map<Long, Asked> open = new HashMap<>();
    private final Map<VmId, Instant> leftAlone = new HashMap<>();
    private long number;

    private record Asked(VmId relay, CompletableFuture<Changes> answer) {}

    /** Sends a request for changes to a router; returns false if there is no link to it now. */
    @FunctionalInterface
    interface Wire {
        boolean requestChanges(VmId relay, long number, String prefix, long after, Duration wait);
    }

    StoreRelays(ControlThread control, Supplier<List<VmId>> sources, Wire wire) {
        this.control = control;
        this.sources = sources;
        this.wire = wire;
    }

    @Override
    public boolean available() {
        return next().isPresent();
    }

    @Override
    public CompletionStage<Changes> changes(String prefix, long after, Duration wait) {
        CompletableFuture<Changes> answer = new CompletableFuture<>();
        Optional<VmId> relay = next();
        while (relay.isPresent()
                && !wire.requestChanges(relay.get(), number + 1, prefix, after, wait)) {
            leaveAlone(relay.get());
            relay = next();
        }
        if (relay.isEmpty()) {
            answer.completeExceptionally(unavailable("no relay is reachable"));
            return answer;
        }
        long asked = ++number;
        open.put(asked, new Asked(relay.get(), answer));
        control.after(
                wait.plus(ANSWER), () -> give(asked, Optional.empty(), "did not answer in time"));
        return answer;
    }

    /**
     * Takes the answer of a relay.
     *
     * @param to the number of the request that it answers
     * @param changes empty if the relay cannot tell what has changed
     */
    void answered(VmId from, long to, Optional<Changes> changes) {
        Asked asked = open.get(to);
        if (asked != null && asked.relay().equals(from)) {
            give(to, changes, "cannot tell what has changed");
        }
    }

    private void give(long asked, Optional<Changes> changes, String why) {
        Asked one = open.remove(asked);
        if (one == null) {
            return;
        }
        if (changes.isPresent()) {
            one.answer().complete(changes.get());
        } else {
            leaveAlone(one.relay());
            one.answer().completeExceptionally(unavailable(one.relay() + " " + why));
        }
    }

    private void leaveAlone(VmId relay) {
        leftAlone.put(relay, control.clock().instant().plus(LEFT_ALONE));
    }

    private Optional<VmId> next() {
        Instant now = control.clock().instant();
        return sources.get().stream()
                .filter(vm -> !now.isBefore(leftAlone.getOrDefault(vm, Instant.MIN)))
                .findFirst();
    }

    private static PlatformException unavailable(String why) {
        return new PlatformException(PlatformException.Code.UNAVAILABLE, why);
    }
}
