package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Listing;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store in simulated time: its entries, the history of changes, and the watch calls
 * that wait. Routers reach it over a {@link SimulatedStorePath}, which is the part that fails.
 */
final class SimulatedStore {
    /** How old a listing may be that needs not be current. */
    private static final Duration STALENESS = Duration.ofSeconds(3);

    private final ControlThread control;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<WaitingCall> waitingCalls = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision = 1;
    private boolean withholds;
    private boolean claimsNothingWithheld;
    private boolean losesNextChange;
    private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
    private long withheldSince;

    /** All entries as of a time. */
    private record Snapshot(Instant at, Listing entries) {}

    private record WaitingCall(String prefix, long after, CompletableFuture<Changes> answer) {}

    SimulatedStore(ControlThread control) {
        this.control = control;
    }

    /** Writes a key; the write is acknowledged at once. */
    void put(String key, byte[] value) {
        revision++;
        Entry entry = new Entry(key, value, revision, 1, 0);
        entries.put(key, entry);
        publish(new Change(key, revision, Optional.of(entry)));
    }

    /** Removes a key; the removal is acknowledged at once. */
    void remove(String key) {
        if (entries.remove(key) != null) {
            revision++;
            publish(new Change(key, revision, Optional.empty()));
        }
    }

    boolean holds(String key) {
        return entries.containsKey(key);
    }

    /** Withholds new changes from watch calls until the history is dropped. */
    void withholdChanges() {
        withheldSince = visibleRevision();
        withholds = true;
    }

    /**
     * Withholds new changes from watch calls, which are answered all the same that nothing has
     * changed up to the newest revision.
     */
    void hideChanges() {
        withholdChanges();
        claimsNothingWithheld = true;
    }

    /** Returns hidden changes to the watch calls that ask from a revision before them. */
    void stopHidingChanges() {
        withholds = false;
        claimsNothingWithheld = false;
    }

    /** Compacts the whole history, and fails the watch calls that wait. */
    void dropHistory() {
        stopHidingChanges();
        compactedRevision = revision;
        history.clear();
        failWaitingCalls();
    }

    /** Fails the watch calls that wait. */
    void failWaitingCalls() {
        List<WaitingCall> cut = List.copyOf(waitingCalls);
        waitingCalls.clear();
        cut.forEach(each -> each.answer.completeExceptionally(unavailable("cut")));
    }

    List<Entry> list(String prefix) {
        return entries.values().stream().filter(each -> each.key().startsWith(prefix)).toList();
    }

    /** Tells the next change in no answer to a watch call. */
    void loseNextChange() {
        losesNextChange = true;
    }

    /** Returns the entries as they were some seconds ago. */
    Listing staleList(String prefix) {
        Instant asOf = control.clock().instant().minus(STALENESS);
        while (snapshots.size() > 1 && !second(snapshots).at().isAfter(asOf)) {
            snapshots.removeFirst();
        }
        Listing found = snapshots.getFirst().entries();
        return new Listing(
                found.entries().stream().filter(each -> each.key().startsWith(prefix)).toList(),
                found.revision());
    }

    private static Snapshot second(ArrayDeque<Snapshot> snapshots) {
        Iterator<Snapshot> each = snapshots.iterator();
        each.next();
        return each.next();
    }

    long revision() {
        return revision;
    }

    CompletableFuture<Changes> changes(String prefix, long after, Duration wait) {
        if (after < compactedRevision) {
            return CompletableFuture.failedFuture(
                    new PlatformException(Code.COMPACTED, "history is gone"));
        }
        WaitingCall call = new WaitingCall(prefix, after, new CompletableFuture<>());
        if (!tryAnswer(call)) {
            waitingCalls.add(call);
            control.after(wait, () -> expire(call));
        }
        return call.answer;
    }

    private void expire(WaitingCall call) {
        if (waitingCalls.remove(call)) {
            long upTo = claimsNothingWithheld ? revision : visibleRevision();
            call.answer.complete(new Changes(List.of(), upTo));
        }
    }

    private boolean tryAnswer(WaitingCall call) {
        List<Change> found =
                history.stream()
                        .filter(change -> change.revision() > call.after)
                        .filter(change -> change.revision() <= visibleRevision())
                        .filter(change -> change.key().startsWith(call.prefix))
                        .toList();
        if (!found.isEmpty()) {
            call.answer.complete(new Changes(found, visibleRevision()));
        }
        return !found.isEmpty();
    }

    private void publish(Change change) {
        Listing now = new Listing(List.copyOf(entries.values()), revision);
        snapshots.add(new Snapshot(control.clock().instant(), now));
        if (losesNextChange) {
            losesNextChange = false;
            return;
        }
        history.add(change);
        waitingCalls.removeIf(this::tryAnswer);
    }

    // The newest revision that watch calls are answered with.
    private long visibleRevision() {
        return withholds ? withheldSince : revision;
    }

    static PlatformException unavailable(String why) {
        return new PlatformException(Code.UNAVAILABLE, why);
    }
}
