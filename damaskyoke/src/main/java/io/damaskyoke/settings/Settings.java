package io.damaskyoke.settings;

import io.damaskyoke.control.claims.ClaimSettings;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.settings.SettingsException.Code;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * Reads settings files: {@code RouterSettings settings = Settings.router(Path.of("router.toml"))}.
 *
 * <p>A file is checked as a whole; when it has faults you get a {@link SettingsException} that
 * lists all of them, one line each, and no settings.
 */
public final class Settings {
    private static final int FRAME_OVERHEAD_BYTES = 64 * 1024;

    private Settings() {}

    /** A router's settings, read from this TOML file. */
    public static RouterSettings router(Path file) {
        return parseRouter(textOf(file), file.toString());
    }

    /** An agent's settings, read from this TOML file. */
    public static AgentSettings agent(Path file) {
        return parseAgent(textOf(file), file.toString());
    }

    /** The settings of a router that reaches upstreams itself, read from this TOML file. */
    public static DirectSettings direct(Path file) {
        return parseDirect(textOf(file), file.toString());
    }

    /** The same from TOML text; the file's name stands in the faults. */
    public static DirectSettings parseDirect(String text, String fileName) {
        Values values = Values.read(text, fileName, Keys.DIRECT);
        values.endpoint("direct.callers");
        values.endpoint("direct.ready");
        values.endpoint("direct.store");
        checkSilence(values);
        values.throwFaults();
        return new DirectSettings(
                values.text("process.vm"),
                values.text("process.availability-zone"),
                Endpoint.parse(values.text("direct.callers")),
                Endpoint.parse(values.text("direct.ready")),
                Endpoint.parse(values.text("direct.store")),
                values.text("direct.store-prefix"),
                values.duration("direct.store-timeout"),
                values.integer("direct.metrics-port"),
                values.duration("direct.retry-window"),
                values.number("direct.retry-ratio"),
                values.number("direct.retry-extra"),
                values.duration("direct.grace"),
                new DirectSettings.Zones(
                        values.table("direct.zones"), values.duration("direct.zone-drain-limit")),
                new DirectSettings.Cold(
                        values.number("direct.cold-overage"), values.number("direct.cold-slack")),
                new DirectSettings.AnswerLimits(
                        values.integer("direct.max-answer"), values.integer("direct.max-event")),
                values.integer("direct.max-unread"),
                values.optionalInteger("direct.max-bodies"),
                capacity(values),
                peer(values));
    }

    private static OptionalDouble capacity(Values values) {
        OptionalDouble share = values.optionalNumber("direct.cpu-share");
        return share.isPresent()
                ? OptionalDouble.of(share.getAsDouble() * values.number("direct.cpu-cores"))
                : share;
    }

    /** A router's settings from TOML text; the file's name stands in the faults. */
    public static RouterSettings parseRouter(String text, String fileName) {
        Values values = Values.read(text, fileName, Keys.ROUTER);
        checkShared(values);
        values.require(
                "caller.default-deadline",
                values.duration("caller.default-deadline")
                                .compareTo(values.duration("caller.max-deadline"))
                        <= 0,
                "up to caller.max-deadline");
        values.require(
                "stop.limit",
                values.duration("stop.limit").compareTo(values.duration("caller.max-deadline"))
                        >= 0,
                "caller.max-deadline or more, so that a stop cuts off no request");
        values.require(
                "peer.max-frame",
                values.integer("peer.max-frame")
                        > values.integer("caller.max-body") + FRAME_OVERHEAD_BYTES,
                "more than caller.max-body and 64KiB, as one frame carries a request");
        values.require(
                "claims.retry-most",
                values.duration("claims.retry-most")
                                .compareTo(values.duration("claims.retry-first"))
                        >= 0,
                "claims.retry-first or more");
        values.throwFaults();
        return new RouterSettings(
                process(values),
                platform(values),
                caller(values),
                operator(values),
                peer(values),
                control(values),
                claims(values),
                stop(values));
    }

    /** An agent's settings from TOML text; the file's name stands in the faults. */
    public static AgentSettings parseAgent(String text, String fileName) {
        Values values = Values.read(text, fileName, Keys.AGENT);
        checkShared(values);
        values.throwFaults();
        return new AgentSettings(
                process(values),
                platform(values),
                upstream(values),
                operator(values),
                peer(values),
                values.integer("claims.max-body"),
                stop(values));
    }

    /** The operators' page on all keys, in Markdown. */
    public static String page() {
        return SettingsPage.markdown();
    }

    private static String textOf(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            String found = "a file that can't be read (" + e.getClass().getSimpleName() + ")";
            Fault fault = new Fault(file.toString(), "-", found, "a readable file in UTF-8");
            throw new SettingsException(Code.UNREADABLE, List.of(fault));
        }
    }

    private static void checkShared(Values values) {
        values.secret("process.key-secret");
        values.secret("operator.token");
        checkSilence(values);
    }

    private static void checkSilence(Values values) {
        values.require(
                "peer.silence",
                values.duration("peer.silence")
                                .compareTo(values.duration("peer.heartbeat").multipliedBy(2))
                        >= 0,
                "twice peer.heartbeat or more, so that one late heartbeat closes no link");
    }

    private static ProcessSettings process(Values values) {
        return new ProcessSettings(
                values.text("process.vm"),
                values.text("process.availability-zone"),
                values.text("process.key-secret"),
                choice(ProcessSettings.LogFormat.class, values.text("process.log-format")),
                values.integer("process.timeline-events"));
    }

    private static PlatformSettings platform(Values values) {
        return new PlatformSettings(
                values.urls("platform.store"),
                values.text("platform.store-prefix"),
                values.duration("platform.store-timeout"),
                values.url("platform.vm-list"),
                values.duration("platform.vm-list-period"));
    }

    private static RouterSettings.Caller caller(Values values) {
        return new RouterSettings.Caller(
                values.text("caller.host"),
                values.integer("caller.port"),
                values.integer("caller.max-body"),
                values.integer("caller.max-header"),
                values.duration("caller.header-timeout"),
                values.integer("caller.max-connections"),
                values.duration("caller.default-deadline"),
                values.duration("caller.max-deadline"));
    }

    private static OperatorSettings operator(Values values) {
        return new OperatorSettings(
                values.text("operator.host"),
                values.integer("operator.port"),
                values.text("operator.token"));
    }

    private static PeerSettings peer(Values values) {
        return new PeerSettings(
                values.text("peer.host"),
                values.integer("peer.port"),
                values.integer("peer.max-frame"),
                values.integer("peer.credit"),
                values.duration("peer.heartbeat"),
                values.duration("peer.silence"));
    }

    private static RouterSettings.Control control(Values values) {
        return new RouterSettings.Control(
                values.integer("control.max-waiting"),
                values.duration("control.unconfirmed-limit"),
                values.number("control.retry-budget"),
                values.duration("control.placement-lease"),
                values.wideInteger("control.seed"));
    }

    private static ClaimSettings claims(Values values) {
        return new ClaimSettings(
                values.duration("claims.gather"),
                values.duration("claims.lazy-gather"),
                values.duration("claims.retry-first"),
                values.duration("claims.retry-most"),
                values.integer("claims.max-operations"),
                values.integer("claims.max-bytes"),
                values.integer("claims.max-pending"),
                values.duration("claims.max-wait"),
                values.integer("claims.max-body"),
                values.duration("claims.retention"));
    }

    private static AgentSettings.Upstream upstream(Values values) {
        return new AgentSettings.Upstream(
                choice(AgentSettings.Kind.class, values.text("upstream.kind")),
                values.text("upstream.pool"),
                values.url("upstream.url"),
                values.integer("upstream.max-running"),
                values.integer("upstream.max-waiting"),
                values.duration("upstream.connect-timeout"),
                values.duration("upstream.load-timeout"),
                values.integer("upstream.loads-at-once"));
    }

    private static StopSettings stop(Values values) {
        return new StopSettings(
                values.duration("stop.balancer-wait"), values.duration("stop.limit"));
    }

    private static <E extends Enum<E>> E choice(Class<E> type, String word) {
        return Enum.valueOf(type, word.toUpperCase(Locale.ROOT));
    }
}
