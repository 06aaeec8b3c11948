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
 * Which routers may have taken a ticket since a moment, by readings of the platform's list.
 *
 * <p>A VM that the list dropped may still run, so it counts until a confirmation newer than its
 * going. It rests on this: nobody is listed, takes a ticket and is gone or restarted again within
 * {@link #GAP}. A longer pause between two readings is a blind spot, in which a router could have
 * come, withdrawn a key and gone.
 */
final class RouterRoster {
    /** The longest pause between two readings that hides nobody. */
    static final Duration GAP = Duration.ofSeconds(10);

    private final Map<VmId, Line> lines = new HashMap<>();
    private Optional<Instant> lastRead = Optional.empty();
    private Instant unbrokenSince = Instant.MAX;

    private static final class Line {
        private Optional<Instant> absentAt = Optional.empty();
        private Optional<Instant> goneAt = Optional.empty();
        private Optional<Incarnation> firstLife = Optional.empty();
    }

    /** The list, asked for at this moment, names these. */
    void read(Set<VmId> listed, Instant askedAt) {
        if (lastRead.isEmpty() || askedAt.isAfter(lastRead.get().plus(GAP))) {
            unbrokenSince = askedAt;
        }
        for (VmId vm : listed) {
            lines.computeIfAbsent(vm, any -> newLine()).goneAt = Optional.empty();
        }
        lines.forEach((vm, line) -> markGone(line, listed.contains(vm), askedAt));
        lastRead = Optional.of(askedAt);
    }

    /** Nothing newer than what is known existed then: who had gone before doesn't matter. */
    void confirmed(Instant asOf) {
        lines.values().removeIf(line -> line.goneAt.filter(at -> !at.isAfter(asOf)).isPresent());
    }

    /** Everyone who may have taken a ticket, in order. */
    List<VmId> all() {
        return lines.keySet().stream().sorted().toList();
    }

    /** When the newest list was asked for; nothing can be said of later. */
    Optional<Instant> lastRead() {
        return lastRead;
    }

    /** True if nobody can have come and gone unseen since then. */
    boolean covers(Instant since) {
        return !unbrokenSince.isAfter(since);
    }

    /** True if this life of a router can have had none before it that took tickets. */
    boolean firstLife(VmId vm, Incarnation life, Instant now) {
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
