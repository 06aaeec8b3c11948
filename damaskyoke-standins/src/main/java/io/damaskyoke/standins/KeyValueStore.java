package io.damaskyoke.standins;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Keys, leases and the recent history, with the revisions of etcd.
 *
 * <p>Not safe for threads by itself: {@link KeyValueGateway} calls it under its own lock.
 */
final class KeyValueStore {
    static final long NO_LEASE = 0;

    private static final Comparator<byte[]> BY_BYTES = Arrays::compareUnsigned;
    private static final long FIRST_LEASE = 7_000_000_000_000_000_001L;

    private final InstantSource clock;
    private final int historyEvents;
    private final long historyBytes;
    private final NavigableMap<byte[], KeyValue> entries = new TreeMap<>(BY_BYTES);
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Event> history = new ArrayDeque<>();
    private long retainedBytes;
    private long revision = 1;
    private long compactRevision;
    private long nextLease = FIRST_LEASE;
    private boolean wrote;

    record KeyValue(
            byte[] key, byte[] value, long created, long modified, long version, long lease) {}

    /** A change; {@code previous} is null when the key was created. */
    record Event(boolean deletion, KeyValue entry, KeyValue previous) {
        long revision() {
            return entry.modified();
        }

        long size() {
            return entry.key().length + entry.value().length;
        }
    }

    /**
     * Keys from {@code first} on: only it if {@code end} is empty, all above if it is one zero
     * byte.
     */
    record KeyRange(byte[] first, byte[] end) {
        boolean contains(byte[] key) {
            if (end.length == 0) {
                return Arrays.equals(first, key);
            }
            return BY_BYTES.compare(key, first) >= 0
                    && (isOpen() || BY_BYTES.compare(key, end) < 0);
        }

        private boolean isOpen() {
            return end.length == 1 && end[0] == 0;
        }
    }

    private static final class Lease {
        private final Duration ttl;
        private final TreeSet<byte[]> keys = new TreeSet<>(BY_BYTES);
        private Instant deadline;

        Lease(Duration ttl) {
            this.ttl = ttl;
        }
    }

    KeyValueStore(InstantSource clock, int historyEvents, long historyBytes) {
        this.clock = clock;
        this.historyEvents = historyEvents;
        this.historyBytes = historyBytes;
    }

    long revision() {
        return revision;
    }

    /** The oldest revision that a watch can still start from. */
    long compactRevision() {
        return compactRevision;
    }

    /** Runs the steps as one change: all of its writes share one revision. */
    <T> T atomically(Supplier<T> steps) {
        wrote = false;
        T result = steps.get();
        if (wrote) {
            revision++;
            trimHistory();
        }
        return result;
    }

    List<KeyValue> range(KeyRange range) {
        if (range.end().length == 0) {
            KeyValue entry = entries.get(range.first());
            return entry == null ? List.of() : List.of(entry);
        }
        if (range.isOpen()) {
            return List.copyOf(entries.tailMap(range.first()).values());
        }
        if (BY_BYTES.compare(range.first(), range.end()) >= 0) {
            return List.of();
        }
        return List.copyOf(entries.subMap(range.first(), range.end()).values());
    }

    KeyValue find(byte[] key) {
        return entries.get(key);
    }

    /** Sets a key, and gives what it held before, or null. */
    KeyValue put(byte[] key, byte[] value, long lease) {
        KeyValue old = entries.get(key);
        long next = revision + 1;
        long created = old == null ? next : old.created();
        long version = old == null ? 1 : old.version() + 1;
        KeyValue entry = new KeyValue(key, value, created, next, version, lease);
        detach(old);
        if (lease != NO_LEASE) {
            lease(lease).keys.add(key);
        }
        entries.put(key, entry);
        record(new Event(false, entry, old));
        return old;
    }

    List<KeyValue> delete(KeyRange range) {
        List<KeyValue> gone = range(range);
        for (KeyValue old : gone) {
            entries.remove(old.key());
            detach(old);
            KeyValue tombstone = new KeyValue(old.key(), new byte[0], 0, revision + 1, 0, NO_LEASE);
            record(new Event(true, tombstone, old));
        }
        return gone;
    }

    /** The events of the range since a revision, in order. */
    List<Event> eventsSince(long from, KeyRange range) {
        List<Event> found = new ArrayList<>();
        for (Event event : history) {
            if (event.revision() >= from && range.contains(event.entry().key())) {
                found.add(event);
            }
        }
        return found;
    }

    long grant(long wanted, Duration ttl) {
        long id = wanted == NO_LEASE ? nextLease++ : wanted;
        if (leases.containsKey(id)) {
            throw StandInException.grpc(400, 9, "etcdserver: lease already exists");
        }
        Lease lease = new Lease(ttl);
        lease.deadline = clock.instant().plus(ttl);
        leases.put(id, lease);
        return id;
    }

    void revoke(long id) {
        Lease lease = lease(id);
        leases.remove(id);
        atomically(
                () -> {
                    for (byte[] key : List.copyOf(lease.keys)) {
                        delete(new KeyRange(key, new byte[0]));
                    }
                    return null;
                });
    }

    /** Sets the lease back to its whole time and gives that; zero if there is no such lease. */
    Duration keepAlive(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return Duration.ZERO;
        }
        lease.deadline = clock.instant().plus(lease.ttl);
        return lease.ttl;
    }

    boolean hasLease(long id) {
        return leases.containsKey(id);
    }

    Duration grantedTtl(long id) {
        return lease(id).ttl;
    }

    Duration remaining(long id) {
        return Duration.between(clock.instant(), lease(id).deadline);
    }

    List<byte[]> keysOf(long id) {
        return List.copyOf(lease(id).keys);
    }

    /** Ends the leases whose time is over; their keys go. */
    void expire() {
        Instant now = clock.instant();
        for (Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
            if (!entry.getValue().deadline.isAfter(now)) {
                revoke(entry.getKey());
            }
        }
    }

    private Lease lease(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            throw StandInException.notFound("etcdserver: requested lease not found");
        }
        return lease;
    }

    private void detach(KeyValue old) {
        if (old != null && leases.containsKey(old.lease())) {
            leases.get(old.lease()).keys.remove(old.key());
        }
    }

    private void record(Event event) {
        wrote = true;
        history.add(event);
        retainedBytes += event.size();
    }

    private void trimHistory() {
        while (history.size() > historyEvents || retainedBytes > historyBytes) {
            long gone = history.getFirst().revision();
            // A revision goes as a whole: half of a transaction must never reach a watch.
            while (!history.isEmpty() && history.getFirst().revision() == gone) {
                retainedBytes -= history.removeFirst().size();
            }
            compactRevision = gone + 1;
        }
    }
}
