package io.damaskyoke.direct;

import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.direct.RouteTable;
import io.damaskyoke.control.direct.UnreadablePart;
import io.damaskyoke.metrics.Metrics;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Holds the configuration in force at this router, and replaces it only by a newer one. Control
 * thread only.
 */
final class ConfigurationHolder {
    private static final Logger LOG = LogManager.getLogger(ConfigurationHolder.class);
    private static final int MAX_PARTS_LOGGED = 20;

    private final Dialect dialect;
    private final Consumer<DirectConfiguration> onChange;
    private DirectConfiguration current;
    private RouteTable routes = new RouteTable(List.of());
    private byte[] storedBytes = new byte[0];
    private long unreadableRevision;

    ConfigurationHolder(Dialect dialect, Consumer<DirectConfiguration> onChange) {
        this.dialect = dialect;
        this.onChange = onChange;
    }

    Optional<DirectConfiguration> current() {
        return Optional.ofNullable(current);
    }

    RouteTable routes() {
        return routes;
    }

    /** Returns the store revision of the configuration in force; 0 if there is none yet. */
    long revision() {
        return current == null ? 0 : current.revision();
    }

    /** Returns the configuration in force as the store holds it; empty if there is none yet. */
    byte[] storedBytes() {
        return storedBytes;
    }

    /**
     * Puts a configuration in force if its store revision is newer; an older or unreadable one
     * changes nothing.
     *
     * @param source where it was read, for the log: the store or a peer router
     */
    void replaceIfNewer(byte[] bytes, long revision, String source) {
        if (revision <= revision() || revision == unreadableRevision) {
            return;
        }
        Optional<DirectConfiguration> next = read(bytes, revision);
        if (next.isPresent() && isNewer(next.get())) {
            putInForce(next.get(), bytes, source);
        }
    }

    // Another writer may have written the value. Whatever is wrong with it, the configuration in
    // force stays.
    private Optional<DirectConfiguration> read(byte[] bytes, long revision) {
        try {
            return Optional.of(dialect.configuration(bytes, revision));
        } catch (RuntimeException e) {
            LOG.error("ignoring the configuration at revision {}: {}", revision, e.getMessage());
            unreadableRevision = revision;
            return Optional.empty();
        }
    }

    private boolean isNewer(DirectConfiguration next) {
        boolean isUnknown = next.version() == DirectConfiguration.UNKNOWN_VERSION;
        if (current == null || isUnknown || next.version() >= current.version()) {
            return true;
        }
        LOG.warn(
                "ignoring configuration version={}: it is older than the one in force",
                next.version());
        return false;
    }

    private void putInForce(DirectConfiguration next, byte[] bytes, String source) {
        current = next;
        storedBytes = bytes;
        routes = new RouteTable(next.routes(), next.unreadableRoutes());
        unreadableRevision = 0;
        LOG.info(
                "configuration version={} revision={} from={} routes={} in force",
                next.version(),
                next.revision(),
                source,
                next.routes().size());
        logUnreadable(next);
        onChange.accept(next);
    }

    private static void logUnreadable(DirectConfiguration configuration) {
        List<UnreadablePart> parts = configuration.unreadableParts();
        parts.stream()
                .limit(MAX_PARTS_LOGGED)
                .forEach(
                        part ->
                                LOG.error(
                                        "{} of configuration version={} revision={} can't be read,"
                                                + " and what needs it is refused: {}",
                                        part.path(),
                                        configuration.version(),
                                        configuration.revision(),
                                        part.reason()));
        if (parts.size() > MAX_PARTS_LOGGED) {
            LOG.error("{} more parts can't be read", parts.size() - MAX_PARTS_LOGGED);
        }
    }

    /** Registers the gauges for the version in force and for what of it can't be read. */
    void registerGauges(Metrics metrics) {
        metrics.gauge(
                "configuration_version", () -> current().map(each -> each.version()).orElse(0L));
        metrics.gauge(
                "configuration_unreadable_parts",
                () -> current().map(each -> each.unreadableParts().size()).orElse(0));
        metrics.gauge("configuration_unreadable_revision", () -> unreadableRevision);
    }
}
