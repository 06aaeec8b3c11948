package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.DrainedZones;
import java.time.Instant;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Takes in which zones operators drain, as the store tells it. Control thread only. */
final class ZoneDrains {
    private static final Logger LOG = LogManager.getLogger(ZoneDrains.class);

    private final Dialect dialect;
    private final DrainedZones zones;
    private final Set<String> known;
    private final Listener listener;
    private long revision;

    /** Hears which zones are drained, after the table of zones has it. */
    interface Listener {
        /** The zone is drained from now on. */
        void drained(String zone);

        /** The zone's drain is taken back. */
        void restored(String zone);
    }

    /** Only zones that are known can be drained; with none given, all of them. */
    ZoneDrains(Dialect dialect, DrainedZones zones, Set<String> known, Listener listener) {
        this.dialect = dialect;
        this.zones = zones;
        this.known = Set.copyOf(known);
        this.listener = listener;
    }

    /** Operators drain the zone, which they had not done yet at {@code notBefore}. */
    void accepted(String zone, byte[] value, long at, Instant notBefore) {
        if (at <= revision) {
            return;
        }
        if (!known.isEmpty() && !known.contains(zone)) {
            LOG.warn("the drain of zone {} is left out: there is no such zone", zone);
            return;
        }
        try {
            dialect.checkDrain(value);
        } catch (DirectException e) {
            LOG.warn("the drain of zone {} is left out: {}", zone, e.getMessage());
            return;
        }
        drain(zone, notBefore);
    }

    private void drain(String zone, Instant notBefore) {
        if (zones.drain(zone, notBefore)) {
            LOG.info("zone {} is drained, asked for after {}", zone, notBefore);
            listener.drained(zone);
        }
    }

    /** The drain is taken back. */
    void takenBack(String zone, long at) {
        if (at > revision) {
            takeBack(zone);
        }
    }

    private void takeBack(String zone) {
        if (zones.restore(zone)) {
            LOG.info("the drain of zone {} is taken back", zone);
            listener.restored(zone);
        } else {
            LOG.info("the drain of zone {}, which was not in force, is taken back", zone);
        }
    }

    /** All that was told up to this revision is taken in; what is older is out of date. */
    void knownUpTo(long at) {
        revision = Math.max(revision, at);
    }

    /** No other zones are drained than these, as of the revision. */
    void onlyThese(Set<String> drained, long at) {
        if (at <= revision) {
            return;
        }
        for (String zone : zones.all().keySet()) {
            if (!drained.contains(zone)) {
                takeBack(zone);
            }
        }
    }

    /** What this router knows, for others that the store doesn't tell. */
    RouterStatus.DrainStatus known() {
        return new RouterStatus.DrainStatus(revision, zones.all());
    }

    /** Another router says which zones are drained, and may know it better. */
    void told(RouterStatus.DrainStatus theirs) {
        if (theirs.revision() <= revision) {
            return;
        }
        onlyThese(theirs.notBefore().keySet(), theirs.revision());
        theirs.notBefore().forEach(this::drain);
        knownUpTo(theirs.revision());
    }
}
