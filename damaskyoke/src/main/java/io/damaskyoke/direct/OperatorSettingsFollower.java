package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.follow.ChangeListener;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.follow.PollTiming;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.PolledStore;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Keeps the operators' settings up to date with the store: the configuration in force and the
 * drained zones. One watch of the store covers both. Control thread only.
 */
final class OperatorSettingsFollower implements ChangeListener {
    private final Dialect dialect;
    private final ConfigurationHolder configuration;
    private final ZoneDrains drains;
    private final Follower follower;

    OperatorSettingsFollower(
            ControlThread control,
            PolledStore store,
            Dialect dialect,
            ConfigurationHolder configuration,
            ZoneDrains drains,
            PollTiming timing,
            Relay relay,
            Metrics metrics) {
        this.dialect = dialect;
        this.configuration = configuration;
        this.drains = drains;
        this.follower =
                Follower.of("configuration")
                        .under(dialect.operatorPrefix())
                        .in(store)
                        .at(timing)
                        .on(control)
                        .counting(metrics)
                        .via(relay)
                        .build(this);
    }

    void start() {
        follower.start();
    }

    /** Returns the follower of the operators' keys, for routers that use this one as a relay. */
    Follower follower() {
        return follower;
    }

    /**
     * Returns how long ago the configuration in force was last confirmed to be the newest; empty if
     * it never was.
     */
    Optional<Duration> age() {
        return follower.age();
    }

    /**
     * Calls back once: with {@code true} when the configuration in force is confirmed to be the
     * newest as of the moment, or with {@code false} if that is not confirmed within the limit.
     */
    void whenCompleteUpTo(Instant moment, Duration limit, Consumer<Boolean> callback) {
        follower.whenCompleteUpTo(moment, limit, callback);
    }

    @Override
    public void entriesRead(List<Entry> entries, long revision, Duration silence) {
        Set<String> drained = new HashSet<>();
        for (Entry entry : entries) {
            dialect.drainedZone(entry.key()).ifPresent(drained::add);
        }
        drains.restoreAllExcept(drained, revision);
        entries.forEach(this::apply);
        drains.markAppliedUpTo(revision);
    }

    @Override
    public void entriesChanged(List<Change> changes, long revision, Duration silence) {
        for (Change change : changes) {
            if (change.entry().isPresent()) {
                apply(change.entry().get());
            } else {
                dialect.drainedZone(change.key())
                        .ifPresent(zone -> drains.applyRestore(zone, change.revision()));
            }
        }
        drains.markAppliedUpTo(revision);
    }

    private void apply(Entry entry) {
        Optional<String> zone = dialect.drainedZone(entry.key());
        if (zone.isPresent()) {
            drains.applyDrain(
                    zone.get(), entry.value(), entry.modRevision(), follower.earliestChangeTime());
        } else if (entry.key().equals(dialect.configurationKey())) {
            configuration.replaceIfNewer(entry.value(), entry.modRevision(), "store");
        }
    }
}
