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
 * gone or restarted again within {@link #GAP}. If two reads are further apart, a router could have
 * come, withdrawn a key and gone unnoticed.
 */
final class RouterRoster {
    /** The longest interval between two reads in which no router can come and go unnoticed. */
    static final Duration GAP = Duration.ofSeconds(10);

    private final Map<VmId, Line> lines = new HashMap<>();
    private Optional<Instant> lastRead = Optional.empty();
    private Instant unbrokenSince = Instant.MAX;

    private static final class Line {
        private Optional<Instant> absentAt = Optional.empty();
        private Optional<Instant> goneAt = Optional.empty();
        private Optional<Incarnation> firstLife = Optional.empty();
    }

    /**
     * Records a read of the VM list.
     *
     * @param listed the routers on the list
     * @param askedAt when the list was requested
     */
    void recordListing(Set<VmId> listed, Instant askedAt) {
        if (lastRead.isEmpty() || askedAt.isAfter(lastRead.get().plus(GAP))) {
            unbrokenSince = askedAt;
        }
        for (VmId vm : listed) {
            lines.computeIfAbsent(vm, any -> newLine()).goneAt = Optional.empty();
        }
        lines.forEach((vm, line) -> markGone(line, listed.contains(vm), askedAt));
        lastRead = Optional.of(askedAt);
    }

    /**
     * Records that, as of this time, nothing newer than the known configuration existed; routers
     * that left the list before then are forgotten.
     */
    void forgetGoneBefore(Instant asOf) {
        lines.values().removeIf(line -> line.goneAt.filter(at -> !at.isAfter(asOf)).isPresent());
    }

    /** Returns all routers that may have accepted a ticket, in order. */
    List<VmId> routers() {
        return lines.keySet().stream().sorted().toList();
    }

    /** Returns when the newest list was requested; nothing is known about later times. */
    Optional<Instant> lastRead() {
        return lastRead;
    }

    /** Returns true if no router can have come and gone unnoticed since then. */
    boolean isGaplessSince(Instant since) {
        return !unbrokenSince.isAfter(since);
    }

    /** Returns true if no earlier incarnation of the router can have accepted tickets. */
    boolean isFirstIncarnation(VmId vm, Incarnation life, Instant now) {
        Line line = lines.get(vm);
        if (line == null) {
            return false;
        }
        boolean justCome = line.absentAt.filter(at -> !now.isAfter(at.plus(GAP))).isPresent();
        if (line.firstLife.isEmpty() && justCome) {
            line.firstLife = Optional.of(life);
        }
        return line.firstLife.filter(life::equals).isPresent();
    }

    private Line newLine() {
        Line line = new Line();
        line.absentAt = lastRead;
        return line;
    }

    private static void markGone(Line line, boolean listed, Instant askedAt) {
        if (!listed && line.goneAt.isEmpty()) {
            line.goneAt = Optional.of(askedAt);
        }
    }
}
