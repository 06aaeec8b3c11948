package io.damaskyoke.direct;

import io.damaskyoke.control.Control;
import io.damaskyoke.follow.ChangeListener;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.follow.Pace;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.PolledStore;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Keeps the configuration in force up with the store. Control thread only. */
final class ConfigurationFollower implements ChangeListener {
    private final String key;
    private final ConfigurationHolder holder;
    private final Follower follower;

    ConfigurationFollower(
            Control control,
            PolledStore store,
            Dialect dialect,
            ConfigurationHolder holder,
            Pace pace,
            Relay relay,
            Metrics metrics) {
        this.key = dialect.configurationKey();
        this.holder = holder;
        this.follower =
                Follower.of("configuration")
                        .under(key)
                        .in(store)
                        .at(pace)
                        .on(control)
                        .counting(metrics)
                        .by(relay)
                        .tell(this);
    }

    void start() {
        follower.start();
    }

    /** What follows the configuration, for others that follow it through this router. */
    Follower follower() {
        return follower;
    }

    /** How long ago the configuration in force was surely the newest; empty if it never was. */
    Optional<Duration> age() {
        return follower.age();
    }

    /**
     * Tells, once, when the configuration in force is the newest as of the moment, or {@code false}
     * if that can't be known within the limit.
     */
    void whenKnown(Instant moment, Duration limit, Consumer<Boolean> told) {
        follower.whenKnown(moment, limit, told);
    }

    @Override
    public void all(List<Entry> entries, long revision, Duration silence) {
        entries.forEach(this::offer);
    }

    @Override
    public void changed(List<Change> changes, long revision, Duration silence) {
        changes.forEach(change -> change.entry().ifPresent(this::offer));
    }

    private void offer(Entry entry) {
        if (entry.key().equals(key)) {
            holder.offer(entry.value(), entry.modRevision(), "store");
        }
    }
}
