package io.damaskyoke.direct;

import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.direct.RouteTable;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The configuration in force here; it only moves on. Control thread only. */
final class ConfigurationHolder {
    private static final Logger LOG = LogManager.getLogger(ConfigurationHolder.class);

    private final Dialect dialect;
    private final Consumer<DirectConfiguration> changed;
    private DirectConfiguration current;
    private RouteTable routes = new RouteTable(List.of());
    private byte[] value = new byte[0];

    ConfigurationHolder(Dialect dialect, Consumer<DirectConfiguration> changed) {
        this.dialect = dialect;
        this.changed = changed;
    }

    Optional<DirectConfiguration> current() {
        return Optional.ofNullable(current);
    }

    RouteTable routes() {
        return routes;
    }

    /** Where the one in force stands in the store; 0 if there is none yet. */
    long revision() {
        return current == null ? 0 : current.revision();
    }

    /** The one in force, as it was stored. */
    byte[] value() {
        return value;
    }

    /** Puts a newer one in force; an older or unreadable one changes nothing. */
    void offer(byte[] given, long revision, String source) {
        if (revision <= revision()) {
            return;
        }
        try {
            DirectConfiguration next = dialect.configuration(given, revision);
            if (current != null && next.version() < current.version()) {
                LOG.warn("version {} is older than the one in force", next.version());
                return;
            }
            current = next;
            value = given;
            routes = new RouteTable(next.routes());
            LOG.info(
                    "configuration version={} revision={} from={} routes={} in force",
                    next.version(),
                    revision,
                    source,
                    next.routes().size());
            changed.accept(next);
        } catch (DirectException e) {
            LOG.error("the configuration at revision {} is left out: {}", revision, e.getMessage());
        }
    }
}
