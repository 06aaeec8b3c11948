package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.OnlyFollowed;
import io.damaskyoke.platform.PlatformException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** One router's connection to a {@link LeasedStore}; while it is cut, every call fails. */
final class DisconnectableStore extends OnlyFollowed {
    private static final Duration ONE_WAY = Duration.ofMillis(2);

    private final ControlThread world;
    private final LeasedStore leased;
    private boolean cut;

    DisconnectableStore(ControlThread world, LeasedStore leased) {
        this.world = world;
        this.leased = leased;
    }

    void cut(boolean value) {
        cut = value;
    }

    @Override
    public CompletionStage<Listing> list(String prefix) {
        return call(() -> leased.store().list(prefix));
    }

    @Override
    public CompletionStage<Changes> changes(String prefix, long after, Duration wait) {
        return call(() -> leased.store().changes(prefix, after, wait));
    }

    @Override
    public CompletionStage<TxnResult> commit(List<Condition> conditions, List<Write> writes) {
        return call(() -> leased.store().commit(conditions, writes));
    }

    @Override
    public CompletionStage<Long> grantLease(Duration ttl) {
        return call(
                () ->
                        leased.store()
                                .grantLease(ttl)
                                .thenApply(
                                        lease -> {
                                            leased.recordGrant(lease, ttl);
                                            return lease;
                                        }));
    }

    @Override
    public CompletionStage<Boolean> keepAlive(long lease) {
        return call(
                () -> {
                    leased.recordKeepAlive(lease);
                    return leased.store().keepAlive(lease);
                });
    }

    @Override
    public CompletionStage<Void> revokeLease(long lease) {
        return call(() -> leased.store().revokeLease(lease));
    }

    @Override
    public boolean up() {
        return !cut;
    }

    private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> operation) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (cut) {
            world.after(ONE_WAY, () -> fail(answer));
            return answer;
        }
        world.after(ONE_WAY, () -> operation.get().whenComplete((v, f) -> reply(answer, v, f)));
        return answer;
    }

    private <T> void reply(CompletableFuture<T> answer, T value, Throwable failure) {
        world.after(
                ONE_WAY,
                () -> {
                    if (cut) {
                        fail(answer);
                    } else if (failure == null) {
                        answer.complete(value);
                    } else {
                        answer.completeExceptionally(failure);
                    }
                });
    }

    private static void fail(CompletableFuture<?> answer) {
        answer.completeExceptionally(
                new PlatformException(PlatformException.Code.UNAVAILABLE, "cut"));
    }
}
