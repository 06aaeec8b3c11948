package io.damaskyoke.follow;

import io.damaskyoke.control.Control;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Listing;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.PolledStore;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps up with all keys under a prefix: reads them, asks for changes, and reads them anew when the
 * store has dropped its history. While the store is out, what was heard last stands.
 *
 * <pre>{@code
 * Follower.of("upstreams").under("servers/").in(store).at(pace).on(control).counting(metrics)
 *         .tell(hearer).start();
 * }</pre>
 */
public final class Follower {
    private static final Logger LOG = LogManager.getLogger(Follower.class);

    /** Half of what a new process may take to be of use; short against every bound. */
    private static final Duration READ_RETRY = Duration.ofMillis(250);

    private static final Duration RETRY = Duration.ofMillis(300);

    private final String name;
    private final String prefix;
    private final PolledStore store;
    private final Pace pace;
    private final Control control;
    private final Metrics metrics;
    private final Hearer hearer;
    private final View view = new View();
    private boolean failing;
    private boolean silent;

    private Follower(Builder from, Hearer hearer) {
        this.name = from.name;
        this.prefix = Objects.requireNonNull(from.prefix, "a follower needs a prefix: under(...)");
        this.store = Objects.requireNonNull(from.store, "a follower needs a store: in(...)");
        this.pace = Objects.requireNonNull(from.pace, "a follower needs a pace: at(...)");
        this.control = Objects.requireNonNull(from.control, "a follower needs a thread: on(...)");
        this.metrics =
                Objects.requireNonNull(from.metrics, "a follower needs metrics: counting(...)");
        this.hearer = Objects.requireNonNull(hearer, "a follower needs somebody to tell");
    }

    /** Begins to make a follower; logs and metrics call what it follows by this name. */
    public static Builder of(String name) {
        return new Builder(name);
    }

    /** Begins; returns this. */
    public Follower start() {
        metrics.gauge("store_view_age_ms", "of", name, this::ageMillis);
        read();
        return this;
    }

    /** True once everything was read. */
    public boolean everRead() {
        return view.asOf().isPresent();
    }

    /** True while neither a reading nor a call for changes is failing. */
    public boolean upToDate() {
        return everRead() && !failing && store.up();
    }

    /** How long ago what is known here was surely complete; empty before the first reading. */
    public Optional<Duration> age() {
        return view.age(control.clock().instant());
    }

    private long ageMillis() {
        return age().map(Duration::toMillis).orElse(-1L);
    }

    private void read() {
        Instant askedAt = control.clock().instant();
        store.list(prefix)
                .whenComplete((found, failure) -> control.run(() -> took(askedAt, found, failure)));
    }

    private void took(Instant askedAt, Listing found, Throwable failure) {
        if (found == null) {
            if (!failing) {
                LOG.warn("can't read {} from the store: {}", name, failure.getMessage());
            }
            failing = true;
            control.after(READ_RETRY, this::read);
            return;
        }
        failing = false;
        confirm(askedAt, askedAt, found.revision(), View.Source.READING);
        hearer.all(found.entries(), found.revision());
        ask();
    }

    private void ask() {
        Instant askedAt = control.clock().instant();
        store.changes(prefix, view.revision(), pace.patience())
                .whenComplete(
                        (changes, failure) ->
                                control.run(() -> answered(askedAt, changes, failure)));
    }

    private void answered(Instant askedAt, Changes changes, Throwable failure) {
        if (changes == null) {
            failed(askedAt, failure);
            return;
        }
        confirm(askedAt, asOf(askedAt, changes), changes.revision(), View.Source.CHANGES);
        if (!changes.changes().isEmpty()) {
            hearer.changed(changes.changes(), lastOf(changes));
        }
        Instant next = askedAt.plus(pace.gap());
        Duration pause = Duration.between(control.clock().instant(), next);
        if (pause.isNegative() || pause.isZero()) {
            ask();
        } else {
            control.after(pause, this::ask);
        }
    }

    // An empty answer at the end of the wait says that there was nothing as long as it lasted.
    private Instant asOf(Instant askedAt, Changes changes) {
        Instant waited = askedAt.plus(pace.patience());
        boolean whole = changes.changes().isEmpty() && !control.clock().instant().isBefore(waited);
        return whole ? waited : askedAt;
    }

    private static long lastOf(Changes changes) {
        return changes.changes().get(changes.changes().size() - 1).revision();
    }

    private void failed(Instant askedAt, Throwable failure) {
        if (compacted(failure)) {
            LOG.info("the store has dropped the history of {}, reading it anew", name);
            failing = true;
            read();
            return;
        }
        metrics.count("store_asks_failed", "of", name);
        if (!silent) {
            silent = true;
            LOG.info(
                    "no changes of {}: a call sent {} ms ago at revision {} ended with {}, view"
                            + " is {} ms old",
                    name,
                    Duration.between(askedAt, control.clock().instant()).toMillis(),
                    view.revision(),
                    failure.getMessage(),
                    ageMillis());
        }
        control.after(RETRY, this::ask);
    }

    private static boolean compacted(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof PlatformException known && known.code() == Code.COMPACTED;
    }

    private void confirm(Instant askedAt, Instant asOf, long revision, View.Source source) {
        if (silent) {
            silent = false;
            LOG.info(
                    "{} is heard of again: revision {} by {}, asked {} ms ago, view was {} ms old",
                    name,
                    revision,
                    source,
                    Duration.between(askedAt, control.clock().instant()).toMillis(),
                    ageMillis());
        }
        view.confirm(asOf, revision, source);
    }

    /** Gathers what a follower needs; {@link #tell} makes it. */
    public static final class Builder {
        private final String name;
        private String prefix;
        private PolledStore store;
        private Pace pace;
        private Control control;
        private Metrics metrics;

        private Builder(String name) {
            this.name = Objects.requireNonNull(name, "a follower needs a name");
        }

        /** What the followed keys begin with. */
        public Builder under(String given) {
            prefix = given;
            return this;
        }

        /** Where the keys are. */
        public Builder in(PolledStore given) {
            store = given;
            return this;
        }

        /** How often it asks. */
        public Builder at(Pace given) {
            pace = given;
            return this;
        }

        /** The thread that it belongs to. */
        public Builder on(Control given) {
            control = given;
            return this;
        }

        /** Where it counts. */
        public Builder counting(Metrics given) {
            metrics = given;
            return this;
        }

        /** Makes the follower, which tells the hearer from its start on. */
        public Follower tell(Hearer hearer) {
            return new Follower(this, hearer);
        }
    }
}
