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

/** Keeps the table of upstreams up with the platform's list. Control thread only. */
final class UpstreamFollower implements ChangeListener {
    private static final Logger LOG = LogManager.getLogger(UpstreamFollower.class);

    /**
     * Entries may lapse while the store is out, and are back within two seconds of its return if
     * their upstream lives. Dropped at once, a whole fleet that still answers would be refused.
     */
    private static final Duration RETURN_TIME = Duration.ofMillis(2_100);

    /** How long the store is asked whether an entry is back, before it is asked again. */
    private static final Duration KNOWN_LIMIT = Duration.ofMillis(500);

    /** Older than any view is while the store answers. */
    private static final Duration OUT_OF_TOUCH = Duration.ofSeconds(2);

    /** Entries lapse after three heartbeats of silence; a shorter outage takes none away. */
    private static final Duration SHORTEST_OUTAGE = Duration.ofSeconds(2);

    private final ControlThread control;
    private final Dialect dialect;
    private final UpstreamTable table;
    private final Follower follower;
    private final Map<UpstreamId, Long> awaited = new HashMap<>();
    private boolean unanswered;
    private long heardUpTo;
    private Listener listener;

    /** Hears what the list says, after the table has it. */
    interface Listener {
        /** An upstream has come or says something new. */
        void listed(UpstreamFacts facts);

        /** An upstream is gone. */
        void gone(UpstreamFacts last);
    }

    UpstreamFollower(
            ControlThread control,
            PolledStore store,
            Dialect dialect,
            UpstreamTable table,
            PollTiming pace,
            Relay relay,
            Metrics metrics) {
        this.control = control;
        this.dialect = dialect;
        this.table = table;
        this.follower =
                Follower.of("upstreams")
                        .under(dialect.upstreamPrefix())
                        .in(store)
                        .at(pace)
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
     * True if another router, which knows the list up to this revision, should be asked who leaves:
     * the store hasn't told this router of late, or not whether somebody is back.
     */
    boolean needsTelling(long theirs) {
        boolean old = follower.age().filter(age -> age.compareTo(OUT_OF_TOUCH) > 0).isPresent();
        return (old || unanswered) && theirs > knownUpTo();
    }

    /**
     * The revision up to which the store has told this router who left, and it doesn't wait for
     * some of them. What other routers tell is no more than a part of what comes after.
     */
    long knownUpTo() {
        long awaitedFrom =
                awaited.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
        return Math.min(heardUpTo, awaitedFrom - 1);
    }

    /** Another router says who leaves. */
    void told(List<UpstreamDeparture> departures) {
        for (UpstreamDeparture each : departures) {
            if (each.removed()) {
                awaited.computeIfPresent(
                        each.upstream(), (id, at) -> at > each.revision() ? at : null);
                removeNow(each.upstream(), each.revision());
            } else {
                table.find(each.upstream())
                        .map(known -> known.facts().drainingSince(each.revision()))
                        .filter(facts -> table.put(facts, control.clock().instant()))
                        .ifPresent(this::leaves);
            }
        }
    }

    private void leaves(UpstreamFacts facts) {
        LOG.info("upstream {} drains, another router says", facts.id());
        listener.listed(facts);
    }

    /** What follows the list, for others that follow it through this router. */
    Follower follower() {
        return follower;
    }

    boolean everRead() {
        return follower.hasReadOnce();
    }

    @Override
    public void entriesRead(List<Entry> entries, long revision, Duration silence) {
        boolean first = heardUpTo == 0;
        heardUpTo = revision;
        boolean afterOutage = afterOutage(silence);
        Set<UpstreamId> listed = new HashSet<>();
        for (Entry entry : entries) {
            listed.add(id(entry.key()));
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
        heardUpTo = revision;
        boolean afterOutage = afterOutage(silence);
        for (Change change : changes) {
            if (change.entry().isPresent()) {
                put(change.entry().get());
            } else {
                remove(id(change.key()), change.revision(), afterOutage);
            }
        }
    }

    // What lapsed in an outage is missing from the first answer after it. What goes later leaves.
    private static boolean afterOutage(Duration silence) {
        return silence.compareTo(SHORTEST_OUTAGE) > 0;
    }

    private void put(Entry entry) {
        Optional<UpstreamFacts> facts =
                dialect.upstream(entry.key(), entry.value(), entry.modRevision());
        if (facts.isEmpty()) {
            LOG.warn("the entry {} names no upstream and is left out", entry.key());
            return;
        }
        awaited.remove(facts.get().id());
        Optional<UpstreamFacts> before = table.find(facts.get().id()).map(known -> known.facts());
        if (!table.put(facts.get(), control.clock().instant())) {
            return;
        }
        boolean news = before.isEmpty() || before.get().draining() != facts.get().draining();
        if (news) {
            LOG.info(
                    "upstream {} at {} service={} draining={} holds={}",
                    facts.get().id(),
                    facts.get().endpoint(),
                    facts.get().service(),
                    facts.get().draining(),
                    facts.get().held().adapters().keySet());
        }
        listener.listed(facts.get());
    }

    private void remove(UpstreamId id, long revision, boolean afterOutage) {
        if (afterOutage) {
            await(id, revision);
        } else if (!awaited.containsKey(id)) {
            removeNow(id, revision);
        }
    }

    // A second outage begins the time anew.
    private void await(UpstreamId id, long revision) {
        awaited.put(id, revision);
        LOG.info(
                "upstream {} is off the list, revision {}, and kept for {} ms: it may return",
                id,
                revision,
                RETURN_TIME.toMillis());
        control.after(RETURN_TIME, () -> removeUnlessBack(id, revision));
    }

    // An entry that came back in time may not be heard of yet. Dropped now, an upstream that lives
    // would get nothing until then; with the store out again, nobody knows. A reading, since
    // changes are told late about the time at which the store drops its history.
    private void removeUnlessBack(UpstreamId id, long revision) {
        if (!awaited.getOrDefault(id, 0L).equals(revision)) {
            return;
        }
        Instant returned = control.clock().instant();
        follower.reload();
        follower.whenCompleteUpTo(
                returned,
                KNOWN_LIMIT,
                known -> {
                    unanswered = !known;
                    if (known) {
                        removeIfAwaited(id, revision);
                    } else {
                        removeUnlessBack(id, revision);
                    }
                });
    }

    private void removeIfAwaited(UpstreamId id, long revision) {
        if (awaited.remove(id, revision)) {
            removeNow(id, revision);
        }
    }

    private void removeNow(UpstreamId id, long revision) {
        Optional<UpstreamFacts> last = table.find(id).map(known -> known.facts());
        if (table.remove(id, revision)) {
            LOG.info("upstream {} is gone, revision {}", id, revision);
            listener.gone(last.orElseThrow());
        }
    }

    private List<UpstreamId> ids() {
        return table.all().stream().map(each -> each.facts().id()).toList();
    }

    private UpstreamId id(String key) {
        return UpstreamId.of(key.substring(dialect.upstreamPrefix().length()));
    }
}
