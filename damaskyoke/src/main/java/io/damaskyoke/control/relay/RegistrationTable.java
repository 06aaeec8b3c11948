package io.damaskyoke.control.relay;

import io.damaskyoke.id.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Holds the agents' registrations as of one revision of the store, and which of them changed since
 * earlier revisions.
 *
 * <p>Revisions are those of the store, so a process may take its next changes from another relay.
 * The last {@value #MAX_REMOVALS} removals are remembered; a follower whose revision is older than
 * these gets the whole table.
 */
public final class RegistrationTable {
    static final int MAX_REMOVALS = 4_096;

    private static final int MAX_MISSED_RANGES = 16;

    private final Map<VmId, Row> rows = new TreeMap<>();
    private final ArrayDeque<MissedRange> missedRanges = new ArrayDeque<>();
    private long completeSince;
    private long revision;

    /**
     * A registration, or the removal of one.
     *
     * @param vm the agent's VM
     * @param value the stored JSON; empty if it was removed
     * @param revision the store's revision at which it was set or removed
     */
    public record Row(VmId vm, byte[] value, long revision) {
        /** Returns true if the registration was removed. */
        public boolean removed() {
            return value.length == 0;
        }
    }

    /**
     * The changes that bring a process to a revision.
     *
     * @param rows the changed registrations
     * @param revision the store's revision after the changes
     * @param full true if a registration that is not in {@code rows} does not exist
     */
    public record Delta(List<Row> rows, long revision, boolean full) {}

    /** A range of revisions in which the table may have missed an agent that came and went. */
    private record MissedRange(long after, long before) {
        boolean contains(long known) {
            return after < known && known < before;
        }
    }

    /** Returns the store's revision that the table represents; 0 before the first read. */
    public long revision() {
        return revision;
    }

    /** Returns all current registrations. */
    public List<Row> registrations() {
        return rows.values().stream().filter(row -> !row.removed()).toList();
    }

    /** Applies a change; one that is older than the known state changes nothing. */
    public void put(Row row) {
        Row before = rows.get(row.vm());
        if (before == null || before.revision() < row.revision()) {
            rows.put(row.vm(), row);
        }
        if (row.removed()) {
            forgetOldRemovals();
        }
        revision = Math.max(revision, row.revision());
    }

    /** Applies a delta, unless the table is newer. */
    public void apply(Delta delta) {
        if (delta.revision() < revision) {
            return;
        }
        if (delta.full()) {
            recordJump(delta.revision());
            removeAllExcept(delta);
        }
        delta.rows().forEach(this::put);
        revision = delta.revision();
    }

    /**
     * Returns what has changed since that revision; the whole table if the changes since then are
     * not all known.
     */
    public Delta changesSince(long known) {
        if (known > revision) {
            return new Delta(List.of(), known, false);
        }
        if (known < completeSince
                || known == 0
                || missedRanges.stream().anyMatch(range -> range.contains(known))) {
            return new Delta(registrations(), revision, true);
        }
        List<Row> changed = new ArrayList<>();
        rows.values().stream().filter(row -> row.revision() > known).forEach(changed::add);
        return new Delta(changed, revision, false);
    }

    private void recordJump(long to) {
        if (revision == 0) {
            completeSince = to;
            return;
        }
        missedRanges.add(new MissedRange(revision, to));
        if (missedRanges.size() > MAX_MISSED_RANGES) {
            completeSince = Math.max(completeSince, missedRanges.remove().before());
        }
    }

    private void removeAllExcept(Delta delta) {
        Set<VmId> kept = delta.rows().stream().map(Row::vm).collect(Collectors.toSet());
        for (Row row : registrations()) {
            if (!kept.contains(row.vm())) {
                put(new Row(row.vm(), new byte[0], delta.revision()));
            }
        }
    }

    private void forgetOldRemovals() {
        List<Row> removals =
                rows.values().stream()
                        .filter(Row::removed)
                        .sorted(Comparator.comparingLong(Row::revision).reversed())
                        .toList();
        for (Row old : removals.subList(Math.min(MAX_REMOVALS, removals.size()), removals.size())) {
            rows.remove(old.vm());
            completeSince = Math.max(completeSince, old.revision());
        }
    }
}
