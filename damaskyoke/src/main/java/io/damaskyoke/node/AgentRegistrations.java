package io.damaskyoke.node;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.relay.RegistrationTable;
import io.damaskyoke.control.relay.RegistrationTable.Delta;
import io.damaskyoke.control.relay.RegistrationTable.Row;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.Registration;
import io.damaskyoke.platform.WatchedStore;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * The agents' registrations as far as this process knows them: a relay watches them in the store,
 * the others take them from relays. What can't be read stays as it was. Lives on the control
 * thread.
 */
final class AgentRegistrations {
    private static final Duration RETRY = Duration.ofSeconds(2);
    private static final byte[] REMOVED = new byte[0];
    private static final Duration RELIST = Duration.ofMinutes(5);

    private final ControlThread control;
    private final WatchedStore store;
    private final String prefix;
    private final Metrics metrics;
    private final RegistrationTable table = new RegistrationTable();
    private final List<Consumer<List<Row>>> listeners = new ArrayList<>();
    private Optional<WatchedStore.Watch> watch = Optional.empty();
    private Optional<ControlThread.Cancellable> timer = Optional.empty();
    private Instant lastListed = Instant.MIN;
    private boolean watching;
    private boolean listing;
    private long watchNumber;

    AgentRegistrations(
            ControlThread control, WatchedStore store, String storePrefix, Metrics metrics) {
        this.control = control;
        this.store = store;
        this.prefix = storePrefix + Registration.PREFIX;
        this.metrics = metrics;
    }

    /** Hears of all registrations whenever one has changed. */
    void onChange(Consumer<List<Row>> listener) {
        listeners.add(listener);
    }

    RegistrationTable table() {
        return table;
    }

    /** Whether to watch the store, as relays do. */
    void watch(boolean value) {
        watching = value;
        if (value) {
            list();
        } else {
            closeWatch();
        }
    }

    /** Lists once, unless that was done within the pause. */
    void refresh(Duration pause) {
        if (watching || control.clock().instant().isBefore(lastListed.plus(pause))) {
            return;
        }
        list();
    }

    /** Takes what a relay sent. */
    void take(Delta delta) {
        long before = table.revision();
        table.apply(delta);
        if (!delta.rows().isEmpty() || before == 0 || delta.full()) {
            tell();
        }
    }

    private void list() {
        if (listing) {
            return;
        }
        listing = true;
        lastListed = control.clock().instant();
        store.list(prefix)
                .whenComplete((found, failure) -> control.run(() -> listed(found, failure)));
    }

    private void listed(KeyValueStore.Listing found, Throwable failure) {
        listing = false;
        if (failure != null) {
            metrics.count("agent_listing_failures");
            again(RETRY);
            return;
        }
        List<Row> rows =
                found.entries().stream()
                        .flatMap(entry -> row(entry.key(), entry.value(), entry.modRevision()))
                        .toList();
        take(new Delta(rows, found.revision(), true));
        if (watching) {
            openWatch(found.revision() + 1);
            again(RELIST);
        }
    }

    private void again(Duration pause) {
        timer.ifPresent(ControlThread.Cancellable::cancel);
        timer = watching ? Optional.of(control.after(pause, this::list)) : Optional.empty();
    }

    private void openWatch(long from) {
        closeWatch();
        long number = watchNumber;
        watch = Optional.of(store.watch(prefix, from, new Listener(number)));
    }

    private void closeWatch() {
        watchNumber++;
        watch.ifPresent(WatchedStore.Watch::close);
        watch = Optional.empty();
        timer.ifPresent(ControlThread.Cancellable::cancel);
    }

    // One key of another writer must not hide the agents that are read with it.
    private Stream<Row> row(String key, byte[] value, long revision) {
        try {
            return Stream.of(new Row(VmId.of(key.substring(prefix.length())), value, revision));
        } catch (IllegalArgumentException e) {
            metrics.count("agent_registrations_unreadable");
            return Stream.empty();
        }
    }

    private void changed(long number, List<KeyValueStore.Change> changes, long revision) {
        if (number != watchNumber) {
            return;
        }
        for (KeyValueStore.Change change : changes) {
            byte[] value = change.entry().map(KeyValueStore.Entry::value).orElse(REMOVED);
            long at = change.entry().map(KeyValueStore.Entry::modRevision).orElse(revision);
            row(change.key(), value, at).forEach(table::put);
        }
        tell();
    }

    private void tell() {
        List<Row> all = table.registrations();
        listeners.forEach(listener -> listener.accept(all));
    }

    /** Hands what the watch says to the control thread. */
    private final class Listener implements WatchedStore.WatchListener {
        private final long number;

        Listener(long number) {
            this.number = number;
        }

        @Override
        public void changed(List<KeyValueStore.Change> changes, long revision) {
            control.run(() -> AgentRegistrations.this.changed(number, changes, revision));
        }

        @Override
        public void ended(PlatformException cause) {
            control.run(
                    () -> {
                        if (number == watchNumber) {
                            closeWatch();
                            again(RETRY);
                        }
                    });
        }
    }
}
