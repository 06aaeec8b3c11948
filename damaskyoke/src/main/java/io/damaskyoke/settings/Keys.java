package io.damaskyoke.settings;

import java.util.List;
import java.util.stream.Stream;

/** The table of keys: it drives both the reading of files and the operators' page. */
final class Keys {
    private static final List<Key> PROCESS =
            List.of(
                    Key.of("process.vm", Kind.ID, "Name of this VM in the platform's list."),
                    Key.of(
                            "process.availability-zone",
                            Kind.ID,
                            "Availability zone of this VM; near peers are preferred."),
                    Key.of(
                                    "process.key-secret",
                                    Kind.TEXT,
                                    "Secret that caller keys are hashed with, 16 bytes or more; the"
                                            + " same in a whole deployment. Or key-secret-file.")
                            .optional()
                            .hidden(),
                    Key.of(
                                    "process.key-secret-file",
                                    Kind.TEXT,
                                    "File that holds the secret; relative to this one.")
                            .optional(),
                    Key.of("process.log-format", Kind.CHOICE, "How log lines look.")
                            .choices("text", "json")
                            .fallback("text"),
                    Key.of(
                                    "process.timeline-events",
                                    Kind.INTEGER,
                                    "Changes of state kept in memory for the time line, and as many"
                                            + " events of single requests.")
                            .range("100", "1000000")
                            .fallback("2000"));

    private static final List<Key> PLATFORM =
            List.of(
                    Key.of("platform.store", Kind.URLS, "The key-value service's endpoints."),
                    Key.of("platform.store-prefix", Kind.TEXT, "What our keys there begin with.")
                            .fallback("/damaskyoke"),
                    Key.of("platform.store-timeout", Kind.DURATION, "How long one call may take.")
                            .range("50ms", "1m")
                            .fallback("2s"),
                    Key.of("platform.vm-list", Kind.URL, "Where the list of VMs is fetched."),
                    Key.of("platform.vm-list-period", Kind.DURATION, "How often it is fetched.")
                            .range("100ms", "10m")
                            .fallback("5s"));

    private static final List<Key> OPERATOR =
            List.of(
                    Key.of("operator.host", Kind.IP, "Address that operators connect to.")
                            .fallback("0.0.0.0"),
                    Key.of("operator.port", Kind.INTEGER, "Port for operators; 0 takes a free one.")
                            .range("0", "65535")
                            .fallback("8081"),
                    Key.of(
                                    "operator.token",
                                    Kind.TEXT,
                                    "Token that operators present, 16 bytes or more. Or"
                                            + " token-file.")
                            .optional()
                            .hidden(),
                    Key.of(
                                    "operator.token-file",
                                    Kind.TEXT,
                                    "File that holds the token; relative to this one.")
                            .optional());

    private static final List<Key> PEER =
            List.of(
                    Key.of("peer.host", Kind.IP, "Address that peers reach this process at."),
                    Key.of("peer.port", Kind.INTEGER, "Port for peers; 0 takes a free one.")
                            .range("0", "65535")
                            .fallback("7400"),
                    Key.of("peer.max-frame", Kind.SIZE, "Largest frame between processes.")
                            .range("128KiB", "128MiB")
                            .fallback("2MiB"),
                    Key.of("peer.credit", Kind.SIZE, "Bytes in flight for one answer.")
                            .range("16KiB", "16MiB")
                            .fallback("256KiB"),
                    Key.of("peer.heartbeat", Kind.DURATION, "How often an idle link says so.")
                            .range("50ms", "1m")
                            .fallback("2s"),
                    Key.of(
                                    "peer.silence",
                                    Kind.DURATION,
                                    "A link silent for so long is closed; 2 heartbeats or more.")
                            .range("100ms", "5m")
                            .fallback("10s"));

    private static final List<Key> STOP =
            List.of(
                    Key.of(
                                    "stop.balancer-wait",
                                    Kind.DURATION,
                                    "How long to take requests after turning not ready.")
                            .range("0s", "5m")
                            .fallback("5s"),
                    Key.of(
                                    "stop.limit",
                                    Kind.DURATION,
                                    "How long to wait for running requests; no less than the"
                                            + " longest deadline, so that a stop cuts none off.")
                            .range("0s", "24h")
                            .fallback("10m"));

    private static final List<Key> CALLER =
            List.of(
                    Key.of("caller.host", Kind.IP, "Address that callers connect to.")
                            .fallback("0.0.0.0"),
                    Key.of("caller.port", Kind.INTEGER, "Port for callers; 0 takes a free one.")
                            .range("0", "65535")
                            .fallback("8080"),
                    Key.of("caller.max-body", Kind.SIZE, "Largest body of a request.")
                            .range("1KiB", "64MiB")
                            .fallback("1MiB"),
                    Key.of("caller.max-header", Kind.SIZE, "Largest header of a request.")
                            .range("1KiB", "256KiB")
                            .fallback("16KiB"),
                    Key.of(
                                    "caller.header-timeout",
                                    Kind.DURATION,
                                    "How long a caller may take to send its header.")
                            .range("100ms", "5m")
                            .fallback("10s"),
                    Key.of("caller.max-connections", Kind.INTEGER, "Callers connected at once.")
                            .range("1", "100000")
                            .fallback("4096"),
                    Key.of(
                                    "caller.default-deadline",
                                    Kind.DURATION,
                                    "Deadline of a request that names none.")
                            .range("100ms", "24h")
                            .fallback("60s"),
                    Key.of("caller.max-deadline", Kind.DURATION, "Longest deadline to ask for.")
                            .range("100ms", "24h")
                            .fallback("10m"));

    private static final List<Key> CONTROL =
            List.of(
                    Key.of("control.max-waiting", Kind.INTEGER, "Requests that may wait here.")
                            .range("1", "100000")
                            .fallback("1000"),
                    Key.of(
                                    "control.unconfirmed-limit",
                                    Kind.DURATION,
                                    "How long to admit requests with a configuration that neither"
                                            + " store nor peer confirms.")
                            .range("1s", "5m")
                            .fallback("10s"),
                    Key.of(
                                    "control.retry-budget",
                                    Kind.NUMBER,
                                    "Retries allowed, as a part of the requests.")
                            .range("0", "1")
                            .fallback("0.1"),
                    Key.of(
                                    "control.placement-lease",
                                    Kind.DURATION,
                                    "Term of the lease on computing the placement.")
                            .range("1s", "5m")
                            .fallback("10s"),
                    Key.of("control.seed", Kind.INTEGER, "Seed of the random choices.")
                            .fallback("1"));

    private static final Key CLAIMS_MAX_BODY =
            Key.of(
                            "claims.max-body",
                            Kind.SIZE,
                            "Bytes of an answer that are kept for repeats of its Idempotency-Key;"
                                    + " the same in a whole deployment. Agents read this key of the"
                                    + " table only.")
                    .range("0B", "256KiB")
                    .fallback("16KiB");

    private static final List<Key> CLAIMS =
            List.of(
                    Key.of(
                                    "claims.gather",
                                    Kind.DURATION,
                                    "How long the claim of an Idempotency-Key waits for others to"
                                            + " share its transaction.")
                            .range("0ms", "1s")
                            .fallback("10ms"),
                    Key.of(
                                    "claims.lazy-gather",
                                    Kind.DURATION,
                                    "The same for an answer that is written down.")
                            .range("0ms", "10s")
                            .fallback("250ms"),
                    Key.of(
                                    "claims.retry-first",
                                    Kind.DURATION,
                                    "Longest pause after a first failure of the store; doubles.")
                            .range("1ms", "10s")
                            .fallback("50ms"),
                    Key.of("claims.retry-most", Kind.DURATION, "Longest pause after many failures.")
                            .range("10ms", "1m")
                            .fallback("1s"),
                    Key.of(
                                    "claims.max-operations",
                                    Kind.INTEGER,
                                    "Changes in one transaction; the store's own limit is often"
                                            + " 128.")
                            .range("1", "128")
                            .fallback("64"),
                    Key.of(
                                    "claims.max-bytes",
                                    Kind.SIZE,
                                    "Keys and values in one transaction; the store's own limit is"
                                            + " often 1.5MiB.")
                            .range("4KiB", "1MiB")
                            .fallback("512KiB"),
                    Key.of(
                                    "claims.max-pending",
                                    Kind.INTEGER,
                                    "Changes that may wait for the store at once.")
                            .range("1", "100000")
                            .fallback("256"),
                    Key.of(
                                    "claims.max-wait",
                                    Kind.DURATION,
                                    "Longest that a request waits for its claim; half of its"
                                            + " deadline if that is less.")
                            .range("100ms", "10m")
                            .fallback("30s"),
                    CLAIMS_MAX_BODY,
                    Key.of(
                                    "claims.retention",
                                    Kind.DURATION,
                                    "How long an Idempotency-Key is remembered at least.")
                            .range("1h", "720h")
                            .fallback("24h"));

    private static final List<Key> UPSTREAM =
            List.of(
                    Key.of("upstream.kind", Kind.CHOICE, "A model engine or a plain service.")
                            .choices("engine", "service"),
                    Key.of("upstream.pool", Kind.ID, "Pool of upstreams that it belongs to."),
                    Key.of("upstream.url", Kind.URL, "Where the upstream listens."),
                    Key.of("upstream.max-running", Kind.INTEGER, "Requests running there at once.")
                            .range("1", "100000")
                            .fallback("16"),
                    Key.of("upstream.max-waiting", Kind.INTEGER, "Requests that may wait for it.")
                            .range("0", "100000")
                            .fallback("64"),
                    Key.of(
                                    "upstream.connect-timeout",
                                    Kind.DURATION,
                                    "How long connecting to it may take.")
                            .range("10ms", "1m")
                            .fallback("2s"),
                    Key.of(
                                    "upstream.load-timeout",
                                    Kind.DURATION,
                                    "How long a load may take before it counts as failed.")
                            .range("1s", "24h")
                            .fallback("5m"),
                    Key.of("upstream.loads-at-once", Kind.INTEGER, "Loads at once at the engine.")
                            .range("1", "64")
                            .fallback("2"));

    /** The keys of a router's file. */
    private static final List<Key> DIRECT_ONLY =
            List.of(
                    Key.of(
                            "direct.callers",
                            Kind.TEXT,
                            "Address and port that callers connect to: 10.0.0.7:8080."),
                    Key.of(
                            "direct.ready",
                            Kind.TEXT,
                            "Address and port on which the balancer asks whether we are ready."),
                    Key.of("direct.store", Kind.TEXT, "Address and port of the platform's store."),
                    Key.of("direct.store-prefix", Kind.TEXT, "What our keys there begin with.")
                            .fallback("damaskyoke"),
                    Key.of("direct.store-timeout", Kind.DURATION, "How long one call may take.")
                            .range("50ms", "1m")
                            .fallback("1500ms"),
                    Key.of(
                                    "direct.metrics-port",
                                    Kind.INTEGER,
                                    "Port for metrics, at peer.host; 0 for none.")
                            .range("0", "65535")
                            .fallback("0"),
                    Key.of(
                                    "direct.retry-window",
                                    Kind.DURATION,
                                    "Over which second sends are counted, by all routers together.")
                            .range("1s", "10m")
                            .fallback("10s"),
                    Key.of(
                                    "direct.retry-ratio",
                                    Kind.NUMBER,
                                    "Second sends to a service, as a part of its requests.")
                            .range("0", "1")
                            .fallback("0.2"),
                    Key.of(
                                    "direct.retry-extra",
                                    Kind.NUMBER,
                                    "Second sends to a service beyond that part, in one window.")
                            .range("0", "1000000")
                            .fallback("20"),
                    Key.of(
                                    "direct.grace",
                                    Kind.DURATION,
                                    "How long a stop may take before the platform kills.")
                            .range("1s", "1h")
                            .fallback("8s"),
                    Key.of(
                                    "direct.zones",
                                    Kind.TABLE,
                                    "The region of each availability zone; needed where"
                                            + " workspaces or routes have home regions.")
                            .optional(),
                    Key.of(
                                    "direct.zone-drain-limit",
                                    Kind.DURATION,
                                    "How long after operators drain a zone requests may reach it.")
                            .range("0s", "10m")
                            .fallback("5s"),
                    Key.of(
                                    "direct.cold-overage",
                                    Kind.NUMBER,
                                    "What a cold upstream bears, in times its own rate.")
                            .range("0", "100")
                            .fallback("1"),
                    Key.of(
                                    "direct.cold-slack",
                                    Kind.NUMBER,
                                    "Requests a second that a cold upstream bears beyond that.")
                            .range("0", "1000000")
                            .fallback("0"),
                    Key.of(
                                    "direct.max-answer",
                                    Kind.SIZE,
                                    "Largest body of an upstream's answer that is no stream.")
                            .range("64KiB", "256MiB")
                            .fallback("4MiB"),
                    Key.of("direct.max-event", Kind.SIZE, "Largest event of an upstream's stream.")
                            .range("1KiB", "64MiB")
                            .fallback("1MiB"),
                    Key.of(
                                    "direct.max-unread",
                                    Kind.SIZE,
                                    "Bytes of answers that may wait for callers, over all"
                                            + " connections.")
                            .range("64KiB", "1GiB")
                            .fallback("16MiB"),
                    Key.of(
                                    "direct.max-bodies",
                                    Kind.SIZE,
                                    "Bytes of large requests and answers in memory, over all"
                                            + " connections; three fifths of the heap's limit if"
                                            + " not set.")
                            .range("1MiB", "16GiB")
                            .optional(),
                    Key.of(
                                    "direct.cpu-share",
                                    Kind.NUMBER,
                                    "Part of a core that this router may use; needed where routers"
                                            + " differ in size.")
                            .range("0.001", "64")
                            .optional(),
                    Key.of("direct.cpu-cores", Kind.NUMBER, "Cores of which it may use that part.")
                            .range("1", "64")
                            .fallback("1"));

    static final List<Key> DIRECT =
            Stream.of(PROCESS.subList(0, 2), DIRECT_ONLY, PEER).flatMap(List::stream).toList();

    static final List<Key> ROUTER =
            Stream.of(PROCESS, PLATFORM, CALLER, OPERATOR, PEER, CONTROL, CLAIMS, STOP)
                    .flatMap(List::stream)
                    .toList();

    /** The keys of an agent's file. */
    static final List<Key> AGENT =
            Stream.of(PROCESS, PLATFORM, UPSTREAM, OPERATOR, PEER, List.of(CLAIMS_MAX_BODY), STOP)
                    .flatMap(List::stream)
                    .toList();

    private Keys() {}
}
