package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store with time by hand: what it holds, its history, and who waits at it. Routers
 * reach it over a {@link SimulatedStorePath}, which is what fails.
 */
final class SimulatedStore {
    private final ControlThread control;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private long revision = 1;
    private long kept = 1;
    private boolean mute;
    private long mutedAt;

    private record Waiting(String prefix, long after, CompletableFuture<Changes> answer) {}

    SimulatedStore(ControlThread control) {
        this.control = control;
    }

    /** Writes a key, acknowledged at this moment. */
    void put(String key, byte[] value) {
        revision++;
        Entry entry = new Entry(key, value, revision, 1, 0);
        entries.put(key, entry);
        tell(new Change(key, revision, Optional.of(entry)));
    }

    /** Removes a key, acknowledged at this moment. */
    void remove(String key) {
        if (entries.remove(key) != null) {
            revision++;
            tell(new Change(key, revision, Optional.empty()));
        }
    }

    boolean holds(String key) {
        return entries.containsKey(key);
    }

    /** Those that ask for changes hear of no new ones, until the history is dropped. */
    void mute() {
        mutedAt = told();
        mute = true;
    }

    /** Forgets all changes, and cuts off those that wait for one. */
    void dropHistory() {
        mute = false;
        kept = revision;
        history.clear();
        cutWaiting();
    }

    /** Ends the calls that wait, without an answer. */
    void cutWaiting() {
        List<Waiting> cut = List.copyOf(waiting);
        waiting.clear();
        cut.forEach(each -> each.answer.completeExceptionally(unavailable("cut")));
    }

    List<Entry> list(String prefix) {
        return entries.values().stream().filter(each -> each.key().startsWith(prefix)).toList();
    }

    long revision() {
        return revision;
    }

    CompletableFuture<Changes> changes(String prefix, long after, Duration wait) {
        if (after < kept) {
            return CompletableFuture.failedFuture(
                    new PlatformException(Code.COMPACTED, "history is gone"));
        }
        Waiting call = new Waiting(prefix, after, new CompletableFuture<>());
        if (!answered(call)) {
            waiting.add(call);
            control.after(wait, () -> expire(call));
        }
        return call.answer;
    }

    private void expire(Waiting call) {
        if (waiting.remove(call)) {
            call.answer.complete(new Changes(List.of(), told()));
        }
    }

    private boolean answered(Waiting call) {
        List<Change> found =
                history.stream()
                        .filter(change -> change.revision() > call.after)
                        .filter(change -> change.revision() <= told())
                        .filter(change -> change.key().startsWith(call.prefix))
                        .toList();
        if (!found.isEmpty()) {
            call.answer.complete(new Changes(found, told()));
        }
        return !found.isEmpty();
    }

    private void tell(Change change) {
        history.add(change);
        waiting.removeIf(this::answered);
    }

    // Up to where those that ask for changes hear of them.
    private long told() {
        return mute ? mutedAt : revision;
    }

    static PlatformException unavailable(String why) {
        return new PlatformException(Code.UNAVAILABLE, why);
    }
}
