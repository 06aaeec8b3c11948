package io.damaskyoke.platform;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.PlatformException.Code;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * A key-value service in memory, which completes on the calling thread and can be told to fail:
 * {@code store.down(true)}, {@code store.slow(true)} until {@code release()}, {@code
 * store.loseAnswers(1)}, {@code store.cutWatches()}, {@code store.expire(lease)}.
 */
public final class FakeStore implements WatchedStore, PolledStore {
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final TreeMap<Long, List<Change>> changes = new TreeMap<>();
    private final List<FakeWatch> watches = new ArrayList<>();
    private final Set<Long> leases = new HashSet<>();
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private final List<Poll> polls = new ArrayList<>();
    private final Optional<ControlThread> control;
    private long revision = 1;
    private long lastLease;
    private boolean down;
    private boolean slow;
    private boolean watchesSilent;
    private boolean watchesRefused;
    private boolean leasesRefused;
    private int answersToLose;
    private boolean downAfterLoss;
    private int calls;

    /** A store whose calls for changes wait until there is one. */
    public FakeStore() {
        this.control = Optional.empty();
    }

    /** A store whose calls for changes end, by this clock, when their wait is over. */
    public FakeStore(ControlThread control) {
        this.control = Optional.of(control);
    }

    /** Refuses every call and ends every watch, as if nothing listened. */
    public synchronized FakeStore down(boolean value) {
        down = value;
        if (value) {
            cutWatches();
        }
        return this;
    }

    /** Holds calls back until {@link #release}; they take effect only then. */
    public synchronized FakeStore slow(boolean value) {
        slow = value;
        return this;
    }

    /** Carries out the calls held back, in order. */
    public synchronized void release() {
        slow = false;
        while (!held.isEmpty()) {
            held.remove().run();
        }
    }

    /** Carries out the next writes, but answers as if nothing were known of them. */
    public synchronized FakeStore loseAnswers(int count) {
        answersToLose = count;
        return this;
    }

    /** Carries out the next write, loses its answer, and is down from then on. */
    public synchronized FakeStore loseAnswerAndGoDown() {
        answersToLose = 1;
        downAfterLoss = true;
        return this;
    }

    /** Has watches tell nothing, without ending them. */
    public synchronized FakeStore silenceWatches(boolean value) {
        watchesSilent = value;
        return this;
    }

    /** Refuses new watches, while all else works. */
    public synchronized FakeStore refuseWatches(boolean value) {
        watchesRefused = value;
        return this;
    }

    /** Ends every watch. */
    public synchronized void cutWatches() {
        List<FakeWatch> cut = List.copyOf(watches);
        watches.clear();
        List<Poll> lost = List.copyOf(polls);
        polls.clear();
        lost.forEach(poll -> poll.fail(Code.UNAVAILABLE));
        cut.forEach(watch -> watch.listener.ended(new PlatformException(Code.UNAVAILABLE, "cut")));
    }

    /** Ends a lease, as if nobody had kept it alive. */
    public synchronized void expire(long lease) {
        leases.remove(lease);
        List<String> gone =
                entries.values().stream()
                        .filter(entry -> entry.lease() == lease)
                        .map(Entry::key)
                        .toList();
        if (!gone.isEmpty()) {
            revision++;
            gone.forEach(this::delete);
        }
    }

    /** What stands under the prefix, whatever is wrong with the store; no call. */
    public synchronized List<Entry> contents(String prefix) {
        return entries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList();
    }

    /** How many calls came, watches included. */
    public synchronized int calls() {
        return calls;
    }

    /** How many watches are open. */
    public synchronized int openWatches() {
        return watches.size();
    }

    @Override
    public CompletionStage<Optional<Entry>> read(String key) {
        return answer(false, () -> Optional.ofNullable(entries.get(key)));
    }

    @Override
    public CompletionStage<Listing> list(String prefix) {
        return answer(
                false,
                () ->
                        new Listing(
                                entries.values().stream()
                                        .filter(entry -> entry.key().startsWith(prefix))
                                        .toList(),
                                revision));
    }

    @Override
    public CompletionStage<Listing> range(String from, String to, int limit) {
        return answer(
                false,
                () ->
                        new Listing(
                                entries.subMap(from, to).values().stream().limit(limit).toList(),
                                revision));
    }

    @Override
    public CompletionStage<TxnResult> commit(List<Condition> conditions, List<Write> writes) {
        return answer(true, () -> transact(conditions, writes));
    }

    /** Refuses new leases, while all else works. */
    public synchronized FakeStore refuseLeases(boolean value) {
        leasesRefused = value;
        return this;
    }

    @Override
    public CompletionStage<Long> grantLease(Duration ttl) {
        if (leasesRefused) {
            return failed(Code.UNAVAILABLE);
        }
        return answer(
                true,
                () -> {
                    leases.add(++lastLease);
                    return lastLease;
                });
    }

    @Override
    public CompletionStage<Boolean> keepAlive(long lease) {
        return answer(false, () -> leases.contains(lease));
    }

    @Override
    public CompletionStage<Void> revokeLease(long lease) {
        return answer(
                true,
                () -> {
                    expire(lease);
                    return null;
                });
    }

    @Override
    public synchronized Watch watch(String prefix, long fromRevision, WatchListener listener) {
        calls++;
        FakeWatch watch = new FakeWatch(prefix, listener);
        if (down || watchesRefused) {
            listener.ended(new PlatformException(Code.UNAVAILABLE, "down"));
            return () -> {};
        }
        watches.add(watch);
        changes.tailMap(fromRevision)
                .forEach((at, all) -> all.forEach(change -> watch.tell(change, at)));
        return () -> {
            synchronized (this) {
                watches.remove(watch);
            }
        };
    }

    @Override
    public synchronized CompletionStage<Changes> changes(String prefix, long after, Duration wait) {
        calls++;
        if (down || watchesRefused) {
            return failed(Code.UNAVAILABLE);
        }
        Poll poll = new Poll(prefix, after, new CompletableFuture<>());
        if (watchesSilent || !tell(poll)) {
            polls.add(poll);
            control.ifPresent(timers -> timers.after(wait, () -> expire(poll)));
        }
        return poll.answer;
    }

    private synchronized void expire(Poll poll) {
        if (polls.remove(poll)) {
            poll.answer.complete(new Changes(List.of(), revision));
        }
    }

    private boolean tell(Poll poll) {
        List<Change> found =
                changes.tailMap(poll.after, false).values().stream()
                        .flatMap(List::stream)
                        .filter(change -> change.key().startsWith(poll.prefix))
                        .toList();
        if (!found.isEmpty()) {
            poll.answer.complete(new Changes(found, revision));
        }
        return !found.isEmpty();
    }

    @Override
    public synchronized boolean up() {
        return !down;
    }

    @Override
    public void close() {}

    private synchronized <T> CompletionStage<T> answer(boolean write, Supplier<T> effect) {
        calls++;
        if (down) {
            return failed(Code.UNAVAILABLE);
        }
        if (slow) {
            CompletableFuture<T> later = new CompletableFuture<>();
            held.add(() -> later.complete(effect.get()));
            return later;
        }
        T value = effect.get();
        if (write && answersToLose > 0) {
            answersToLose--;
            down = downAfterLoss;
            return failed(Code.OUTCOME_UNKNOWN);
        }
        return CompletableFuture.completedFuture(value);
    }

    private static <T> CompletionStage<T> failed(Code code) {
        return CompletableFuture.failedFuture(new PlatformException(code, "fake store"));
    }

    private TxnResult transact(List<Condition> conditions, List<Write> writes) {
        if (!conditions.stream().allMatch(this::holds)) {
            List<Entry> found =
                    conditions.stream()
                            .map(condition -> entries.get(key(condition)))
                            .filter(entry -> entry != null)
                            .toList();
            return new TxnResult(false, revision, found);
        }
        revision++;
        writes.forEach(this::apply);
        return new TxnResult(true, revision, List.of());
    }

    private boolean holds(Condition condition) {
        Entry entry = entries.get(key(condition));
        if (condition instanceof Condition.Absent) {
            return entry == null;
        }
        if (condition instanceof Condition.Unchanged unchanged) {
            return entry != null && entry.modRevision() == unchanged.modRevision();
        }
        return entry != null;
    }

    private static String key(Condition condition) {
        if (condition instanceof Condition.Absent absent) {
            return absent.key();
        }
        if (condition instanceof Condition.Unchanged unchanged) {
            return unchanged.key();
        }
        return ((Condition.Present) condition).key();
    }

    private void apply(Write write) {
        if (write instanceof Write.Put put) {
            Entry before = entries.get(put.key());
            long version = before == null ? 1 : before.version() + 1;
            Entry entry = new Entry(put.key(), put.value(), revision, version, put.lease());
            entries.put(put.key(), entry);
            tell(new Change(put.key(), revision, Optional.of(entry)));
        } else if (write instanceof Write.Delete delete) {
            delete(delete.key());
        }
    }

    private void delete(String key) {
        if (entries.remove(key) != null) {
            tell(new Change(key, revision, Optional.empty()));
        }
    }

    private void tell(Change change) {
        changes.computeIfAbsent(revision, at -> new ArrayList<>()).add(change);
        if (!watchesSilent) {
            List.copyOf(watches).forEach(watch -> watch.tell(change, revision));
            List.copyOf(polls).stream().filter(this::tell).forEach(polls::remove);
        }
    }

    private record FakeWatch(String prefix, WatchListener listener) {
        void tell(Change change, long at) {
            if (change.key().startsWith(prefix)) {
                listener.changed(List.of(change), at);
            }
        }
    }

    private record Poll(String prefix, long after, CompletableFuture<Changes> answer) {
        void fail(Code code) {
            answer.completeExceptionally(new PlatformException(code, "fake store"));
        }
    }
}
