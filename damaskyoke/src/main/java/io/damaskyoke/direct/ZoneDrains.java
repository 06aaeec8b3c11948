package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.DrainedZones;
import java.time.Instant;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Applies the operators' zone drains, read from the store or received from peer routers, to the
 * table of drained zones. Changes older than the applied revision are ignored. Control thread only.
 */
final class ZoneDrains {
    private static final Logger LOG = LogManager.getLogger(ZoneDrains.class);

    private final Dialect dialect;
    private final DrainedZones zones;
    private final Set<String> knownZones;
    private final Listener listener;
    private long appliedRevision;

    /** Is notified of drained and restored zones, after the table has them. */
    interface Listener {
        /** Called when a zone is drained. */
        void drained(String zone);

        /** Called when a zone's drain is revoked. */
        void restored(String zone);
    }

    /**
     * Creates an instance that applies nothing yet.
     *
     * @param knownZones the zones that can be drained; if empty, any zone can
     */
    ZoneDrains(Dialect dialect, DrainedZones zones, Set<String> knownZones, Listener listener) {
        this.dialect = dialect;
        this.zones = zones;
        this.knownZones = Set.copyOf(knownZones);
        this.listener = listener;
    }

    /**
     * Drains a zone if its store entry is valid and newer than the applied revision.
     *
     * @param revision the store revision of the entry
     * @param notBefore an instant at which the zone was not drained yet
     */
    void applyDrain(String zone, byte[] value, long revision, Instant notBefore) {
        if (revision <= appliedRevision) {
            return;
        }
        if (!knownZones.isEmpty() && !knownZones.contains(zone)) {
            LOG.warn("ignoring the drain of zone {}: there is no such zone", zone);
            return;
        }
        try {
            dialect.checkDrain(value);
        } catch (DirectException e) {
            LOG.warn("ignoring the drain of zone {}: {}", zone, e.getMessage());
            return;
        }
        drain(zone, notBefore);
    }

    private void drain(String zone, Instant notBefore) {
        if (zones.drain(zone, notBefore)) {
            LOG.info("zone {} is drained, requested after {}", zone, notBefore);
            listener.drained(zone);
        }
    }

    /**
     * Revokes the drain of a zone if the change is newer than the applied revision.
     *
     * @param revision the store revision of the change
     */
    void applyRestore(String zone, long revision) {
        if (revision > appliedRevision) {
            restore(zone);
        }
    }

    private void restore(String zone) {
        if (zones.restore(zone)) {
            LOG.info("the drain of zone {} is revoked", zone);
            listener.restored(zone);
        } else {
            LOG.info("the drain of zone {} is revoked; it was not in force", zone);
        }
    }

    /** Marks all changes up to this store revision as applied; older ones are ignored from then. */
    void markAppliedUpTo(long revision) {
        appliedRevision = Math.max(appliedRevision, revision);
    }

    /** Revokes all drains except those of these zones, the drained ones as of the revision. */
    void restoreAllExcept(Set<String> drained, long revision) {
        if (revision <= appliedRevision) {
            return;
        }
        for (String zone : zones.all().keySet()) {
            if (!drained.contains(zone)) {
                restore(zone);
            }
        }
    }

    /** Returns the drains known here, for peer routers that cannot reach the store. */
    RouterStatus.DrainStatus current() {
        return new RouterStatus.DrainStatus(appliedRevision, zones.all());
    }

    /** Applies the drains that a peer router knows, if its revision is newer. */
    void merge(RouterStatus.DrainStatus theirs) {
        if (theirs.revision() <= appliedRevision) {
            return;
        }
        restoreAllExcept(theirs.notBefore().keySet(), theirs.revision());
        theirs.notBefore().forEach(this::drain);
        markAppliedUpTo(theirs.revision());
    }
}
