package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.ChangeListener;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.follow.PollTiming;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.follow.UnreadableEntries;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.PolledStore;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Updates the table of upstreams from the platform's list. Control thread only. */
final class UpstreamFollower implements ChangeListener {
    private static final Logger LOG = LogManager.getLogger(UpstreamFollower.class);

    /**
     * How long an entry that expired in an outage of the store may take to return. Entries of live
     * upstreams are back within two seconds of the store's return; if they were dropped at once,
     * the requests to a whole fleet that still answers would be refused.
     */
    private static final Duration RETURN_TIME = Duration.ofMillis(2_100);

    /** The timeout of a question to the store whether an entry is back; it is then asked again. */
    private static final Duration RECENT_READ_TIMEOUT = Duration.ofMillis(500);

    /** An age of the list that is never reached while the store answers. */
    private static final Duration MAX_LIST_AGE = Duration.ofSeconds(2);

    /** Entries expire after three missed heartbeats; a shorter outage removes none. */
    private static final Duration MIN_OUTAGE = Duration.ofSeconds(2);

    private final ControlThread control;
    private final Dialect dialect;
    private final UpstreamTable table;
    private final Follower follower;
    private final UnreadableEntries unreadable;
    private final Map<UpstreamId, Long> awaitedReturns = new HashMap<>();
    private boolean storeUnanswered;
    private long readUpTo;
    private Listener listener;

    /** Is notified of changes of the list, after the table has them. */
    interface Listener {
        /** Reports that an upstream was added or its entry changed. */
        void upstreamListed(UpstreamFacts facts);

        /** Reports that an upstream was removed; {@code last} is its last entry. */
        void upstreamRemoved(UpstreamFacts last);
    }

    UpstreamFollower(
            ControlThread control,
            PolledStore store,
            Dialect dialect,
            UpstreamTable table,
            PollTiming timing,
            Relay relay,
            Metrics metrics) {
        this.control = control;
        this.dialect = dialect;
        this.table = table;
        this.unreadable = new UnreadableEntries("upstreams", metrics, LOG::warn);
        this.follower =
                Follower.of("upstreams")
                        .under(dialect.upstreamPrefix())
                        .in(store)
                        .at(timing)
                        .on(control)
                        .counting(metrics)
                        .via(relay)
                        .build(this);
    }

    void start(Listener given) {
        listener = given;
        follower.start();
    }

    /**
     * Returns true if another router, which knows the list up to this revision, should be asked for
     * departures: the store has not answered this router recently, or not said whether an entry is
     * back.
     */
    boolean needsDepartures(long theirs) {
        boolean old = follower.age().filter(age -> age.compareTo(MAX_LIST_AGE) > 0).isPresent();
        return (old || storeUnanswered) && theirs > departuresReadUpTo();
    }

    /**
     * Returns the revision up to which this router has read all departures from the store and waits
     * for none of the entries to return. Announcements of other routers do not advance it, as they
     * cover only a part of the later changes.
     */
    long departuresReadUpTo() {
        long awaitedFrom =
                awaitedReturns.values().stream()
                        .mapToLong(Long::longValue)
                        .min()
                        .orElse(Long.MAX_VALUE);
        return Math.min(readUpTo, awaitedFrom - 1);
    }

    /** Applies departures that another router announced. */
    void applyDepartures(List<UpstreamDeparture> departures) {
        for (UpstreamDeparture each : departures) {
            if (each.removed()) {
                awaitedReturns.computeIfPresent(
                        each.upstream(), (id, at) -> at > each.revision() ? at : null);
                removeNow(each.upstream(), each.revision());
            } else {
                table.find(each.upstream())
                        .map(known -> known.facts().drainingSince(each.revision()))
                        .filter(facts -> table.put(facts, control.clock().instant()))
                        .ifPresent(this::notifyDraining);
            }
        }
    }

    private void notifyDraining(UpstreamFacts facts) {
        LOG.info("upstream {} drains, as another router announced", facts.id());
        listener.upstreamListed(facts);
    }

    /** Returns the follower of the list, for others that follow it through this router. */
    Follower follower() {
        return follower;
    }

    boolean hasReadOnce() {
        return follower.hasReadOnce();
    }

    @Override
    public void entriesRead(List<Entry> entries, long revision, Duration silence) {
        boolean first = readUpTo == 0;
        readUpTo = revision;
        boolean afterOutage = afterOutage(silence);
        Set<UpstreamId> listed = new HashSet<>();
        unreadable.keepOnly(entries);
        for (Entry entry : entries) {
            id(entry.key()).ifPresent(listed::add);
            put(entry);
        }
        for (UpstreamId id : List.copyOf(ids())) {
            if (!listed.contains(id)) {
                remove(id, revision, afterOutage);
            }
        }
        if (first) {
            Instant now = control.clock().instant();
            table.all().forEach(each -> each.markUnverified(now));
        }
    }

    @Override
    public void entriesChanged(List<Change> changes, long revision, Duration silence) {
        readUpTo = revision;
        boolean afterOutage = afterOutage(silence);
        for (Change change : changes) {
            if (change.entry().isPresent()) {
                put(change.entry().get());
            } else {
                unreadable.forget(change.key());
                id(change.key()).ifPresent(id -> remove(id, change.revision(), afterOutage));
            }
        }
    }

    // Entries that expired in an outage are missing from the first answer after it. Later removals
    // are real departures.
    private static boolean afterOutage(Duration silence) {
        return silence.compareTo(MIN_OUTAGE) > 0;
    }

    private void put(Entry entry) {
        Optional<UpstreamFacts> facts =
                unreadable.read(
                        entry.key(),
                        () -> dialect.upstream(entry.key(), entry.value(), entry.modRevision()));
        if (facts.isPresent()) {
            list(facts.get());
        } else {
            id(entry.key()).flatMap(table::find).ifPresent(known -> close(known.facts(), entry));
        }
    }

    private void list(UpstreamFacts facts) {
        awaitedReturns.remove(facts.id());
        Optional<UpstreamFacts> before = table.find(facts.id()).map(known -> known.facts());
        if (!table.put(facts, control.clock().instant())) {
            return;
        }
        if (before.isEmpty() || before.get().draining() != facts.draining()) {
            logListed(facts);
        }
        listener.upstreamListed(facts);
    }

    private void logListed(UpstreamFacts facts) {
        LOG.info(
                "upstream {} at {} service={} draining={} holds={} revision={} known_within_ms={}",
                facts.id(),
                facts.endpoint(),
                facts.service(),
                facts.draining(),
                facts.held().adapters().keySet(),
                facts.revision(),
                maxChangeAge());
    }

    // An entry that can't be read names no upstream that may be used, and may be the departure of
    // one. Whoever wrote it, the upstream itself writes a readable one while it stays.
    private void close(UpstreamFacts known, Entry unreadableEntry) {
        long revision = unreadableEntry.modRevision();
        if (revision <= known.revision()) {
            return;
        }
        UpstreamFacts closed = known.drainingSince(revision);
        if (!table.put(closed, control.clock().instant())) {
            return;
        }
        LOG.warn(
                "the entry of upstream {} can't be read any more, so it gets no requests until it"
                        + " can: revision={} last_readable_revision={} known_within_ms={}",
                known.id(),
                revision,
                known.revision(),
                maxChangeAge());
        listener.upstreamListed(closed);
    }

    private long maxChangeAge() {
        return follower.maxChangeAge().map(Duration::toMillis).orElse(-1L);
    }

    private void remove(UpstreamId id, long revision, boolean afterOutage) {
        if (afterOutage) {
            awaitReturn(id, revision);
        } else if (!awaitedReturns.containsKey(id)) {
            removeNow(id, revision);
        }
    }

    // A second outage restarts the wait.
    private void awaitReturn(UpstreamId id, long revision) {
        awaitedReturns.put(id, revision);
        LOG.info(
                "upstream {} was removed at revision {} after an outage, and is kept for {} ms: it"
                        + " may return",
                id,
                revision,
                RETURN_TIME.toMillis());
        control.after(RETURN_TIME, () -> removeUnlessBack(id, revision));
    }

    // An entry that returned in time may not have been received yet. If it were dropped now, a live
    // upstream would get no requests until then; with the store out again, nobody knows. The list
    // is read in full, since changes arrive late around the time the store compacts its history.
    private void removeUnlessBack(UpstreamId id, long revision) {
        if (!awaitedReturns.getOrDefault(id, 0L).equals(revision)) {
            return;
        }
        Instant returned = control.clock().instant();
        follower.reload();
        follower.whenCompleteUpTo(
                returned,
                RECENT_READ_TIMEOUT,
                known -> {
                    storeUnanswered = !known;
                    if (known) {
                        removeIfAwaited(id, revision);
                    } else {
                        removeUnlessBack(id, revision);
                    }
                });
    }

    private void removeIfAwaited(UpstreamId id, long revision) {
        if (awaitedReturns.remove(id, revision)) {
            removeNow(id, revision);
        }
    }

    private void removeNow(UpstreamId id, long revision) {
        Optional<UpstreamFacts> last = table.find(id).map(known -> known.facts());
        if (table.remove(id, revision)) {
            LOG.info(
                    "upstream {} is removed, revision={} known_within_ms={}",
                    id,
                    revision,
                    maxChangeAge());
            listener.upstreamRemoved(last.orElseThrow());
        }
    }

    private List<UpstreamId> ids() {
        return table.all().stream().map(each -> each.facts().id()).toList();
    }

    // Another writer may have written an entry without a name.
    private Optional<UpstreamId> id(String key) {
        String prefix = dialect.upstreamPrefix();
        boolean names = key.startsWith(prefix) && key.length() > prefix.length();
        return names
                ? Optional.of(UpstreamId.of(key.substring(prefix.length())))
                : Optional.empty();
    }
}
