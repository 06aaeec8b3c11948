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
    private static final Duration ANSWER_ALLOWANCE = Duration.ofMillis(300);

    /** By then a killed relay is no longer listed, and a frozen one may have recovered. */
    private static final Duration SKIP_TIME = Duration.ofSeconds(2);

    private final ControlThread control;
    private final Supplier<List<VmId>> sources;
    private final Wire wire;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Map<VmId, Instant> skippedUntil = new HashMap<>();
    private long lastNumber;

    private record PendingRequest(VmId relay, CompletableFuture<Changes> answer) {}

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
                && !wire.requestChanges(relay.get(), lastNumber + 1, prefix, after, wait)) {
            skip(relay.get());
            relay = next();
        }
        if (relay.isEmpty()) {
            answer.completeExceptionally(unavailable("no relay is reachable"));
            return answer;
        }
        long number = ++lastNumber;
        pending.put(number, new PendingRequest(relay.get(), answer));
        control.after(
                wait.plus(ANSWER_ALLOWANCE),
                () -> complete(number, Optional.empty(), "did not answer in time"));
        return answer;
    }

    /**
     * Takes the answer of a relay.
     *
     * @param number the number of the request that it answers
     * @param changes empty if the relay cannot tell what has changed
     */
    void answered(VmId from, long number, Optional<Changes> changes) {
        PendingRequest request = pending.get(number);
        if (request != null && request.relay().equals(from)) {
            complete(number, changes, "cannot tell what has changed");
        }
    }

    private void complete(long number, Optional<Changes> changes, String why) {
        PendingRequest request = pending.remove(number);
        if (request == null) {
            return;
        }
        if (changes.isPresent()) {
            request.answer().complete(changes.get());
        } else {
            skip(request.relay());
            request.answer().completeExceptionally(unavailable(request.relay() + " " + why));
        }
    }

    private void skip(VmId relay) {
        skippedUntil.put(relay, control.clock().instant().plus(SKIP_TIME));
    }

    private Optional<VmId> next() {
        Instant now = control.clock().instant();
        return sources.get().stream()
                .filter(vm -> !now.isBefore(skippedUntil.getOrDefault(vm, Instant.MIN)))
                .findFirst();
    }

    private static PlatformException unavailable(String why) {
        return new PlatformException(PlatformException.Code.UNAVAILABLE, why);
    }
}
