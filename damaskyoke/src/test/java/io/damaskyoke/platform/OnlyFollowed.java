package io.damaskyoke.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * A store for tests of who follows it: it can be listed and asked for changes, and nothing else.
 */
public abstract class OnlyFollowed implements PolledStore {
    @Override
    public CompletionStage<Optional<Entry>> read(String key) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Listing> range(String from, String to, int limit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<TxnResult> commit(List<Condition> conditions, List<Write> writes) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Long> grantLease(Duration ttl) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Boolean> keepAlive(long lease) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Void> revokeLease(long lease) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
}
