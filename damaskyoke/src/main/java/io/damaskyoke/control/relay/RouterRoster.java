package io.damaskyoke.control.relay;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks which routers may have accepted a ticket since a given time, from successive reads of the
 * platform's VM list.
 *
 * <p>A VM that is no longer listed may still run, so it counts until a confirmation that is newer
 * than its removal from the list. This assumes that no router is listed, accepts a ticket and is
 * gone or restarted again within {@link #MAX_READ_GAP}. If two reads are further apart, a router
 * could have come, withdrawn a key and gone unnoticed.
 */
final class RouterRoster {
    /** The longest interval between two reads in which no router can come and go unnoticed. */
    static final Duration MAX_READ_GAP = Duration.ofSeconds(10);

    private final Map<VmId, Entry> entries = new HashMap<>();
    private Optional<Instant> lastRead = Optional.empty();
    private Instant gaplessSince = Instant.MAX;

    private static final class Entry {
        private Optional<Instant> lastAbsentAt = Optional.empty();
        private Optional<Instant> goneAt = Optional.empty();
        private Optional<Incarnation> firstIncarnation = Optional.empty();
    }

    /**
     * Records a read of the VM list.
     *
     * @param listed the routers on the list
     * @param askedAt when the list was requested
     */
    void recordListing(Set<VmId> listed, Instant askedAt) {
        if (lastRead.isEmpty() || askedAt.isAfter(lastRead.get().plus(MAX_READ_GAP))) {
            gaplessSince = askedAt;
        }
        for (VmId vm : listed) {
            entries.computeIfAbsent(vm, any -> newEntry()).goneAt = Optional.empty();
        }
        entries.forEach((vm, entry) -> markGone(entry, listed.contains(vm), askedAt));
        lastRead = Optional.of(askedAt);
    }

    /**
     * Records that, as of this time, nothing newer than the known configuration existed; routers
     * that left the list before then are forgotten.
     */
    void forgetGoneBefore(Instant asOf) {
        entries.values()
                .removeIf(entry -> entry.goneAt.filter(at -> !at.isAfter(asOf)).isPresent());
    }

    /** Returns all routers that may have accepted a ticket, in order. */
    List<VmId> routers() {
        return entries.keySet().stream().sorted().toList();
    }

    /** Returns when the newest list was requested; nothing is known about later times. */
    Optional<Instant> lastRead() {
        return lastRead;
    }

    /** Returns true if no router can have come and gone unnoticed since then. */
    boolean isGaplessSince(Instant since) {
        return !gaplessSince.isAfter(since);
    }

    /** Returns true if no earlier incarnation of the router can have accepted tickets. */
    boolean isFirstIncarnation(VmId vm, Incarnation incarnation, Instant now) {
        Entry entry = entries.get(vm);
        if (entry == null) {
            return false;
        }
        boolean newlyListed =
                entry.lastAbsentAt.filter(at -> !now.isAfter(at.plus(MAX_READ_GAP))).isPresent();
        if (entry.firstIncarnation.isEmpty() && newlyListed) {
            entry.firstIncarnation = Optional.of(incarnation);
        }
        return entry.firstIncarnation.filter(incarnation::equals).isPresent();
    }

    private Entry newEntry() {
        Entry entry = new Entry();
        entry.lastAbsentAt = lastRead;
        return entry;
    }

    private static void markGone(Entry entry, boolean listed, Instant askedAt) {
        if (!listed && entry.goneAt.isEmpty()) {
            entry.goneAt = Optional.of(askedAt);
        }
    }
}
