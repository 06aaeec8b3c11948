package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.SuspendAwareClock;
import io.damaskyoke.control.cold.EvenShare;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.upstreams.DrainedZones;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.direct.crashes.CrashAnnouncer;
import io.damaskyoke.direct.crashes.PoisonRequestDetector;
import io.damaskyoke.direct.crashes.QuarantineStore;
import io.damaskyoke.direct.crashes.StoringCrashAnnouncer;
import io.damaskyoke.direct.crashes.UpstreamCrashDetector;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.http.BodyMemory;
import io.damaskyoke.http.EarlySocket;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.http.HttpClient;
import io.damaskyoke.http.HttpLimits;
import io.damaskyoke.http.HttpLoop;
import io.damaskyoke.http.HttpServer;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.Role;
import io.damaskyoke.platform.PolledStore;
import io.damaskyoke.rates.RateAdmission;
import io.damaskyoke.rates.RatePeers;
import io.damaskyoke.settings.DirectSettings;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A router that connects to upstreams itself, without an agent beside them: {@code
 * DirectRouter.start(settings, dialect, stores, socket)}.
 *
 * <p>{@code start} returns once it listens; it reports that it is ready once it has read the
 * configuration and the upstreams. {@link #stop()} finishes open requests before it closes.
 */
public final class DirectRouter {
    private static final Logger LOG = LogManager.getLogger(DirectRouter.class);

    /** Upstreams are about 1 ms away; one that takes this long is down or drops packets. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(150);
    private static final Duration GOSSIP_PERIOD = Duration.ofSeconds(1);
    private static final Duration COUNTER_LOG_PERIOD = Duration.ofSeconds(10);
    private static final Duration SWEEP_PERIOD = Duration.ofMillis(500);
    private static final Duration LIST_PERIOD = Duration.ofMillis(500);

    /**
     * How many times less late than this router's event loop another's must be before this router
     * resigns as leader. A leader has more work than the others, so a smaller difference would
     * vanish with the change.
     */
    private static final int RESIGN_LAG_RATIO = 4;

    private static final double BODY_PART_OF_MEMORY = 0.6;
    private static final int TIMELINE_EVENTS = 500;

    private final DirectSettings settings;
    private final Dialect dialect;
    private final VmId self;
    private final Incarnation incarnation;
    private final HttpLoop loop = HttpLoop.start();
    private final SuspendAwareClock clock = SuspendAwareClock.start();
    private final Metrics metrics = new Metrics();
    private final EventLoopControlThread control;
    private final HttpClient client;
    private final PolledStore store;
    private final UpstreamTable upstreams;
    private final StoreRelays relays;
    private final Membership members;
    private final PeerRouters peers;
    private final LeaderLease lease;
    private final LoadCoordinator coordinator;
    private final LeaderHandOver handOver;
    private final ConfigurationHolder configuration;
    private final DemandReporter reports;
    private final UpstreamFollower upstreamFollower;
    private final ZoneDrains drains;
    private final OperatorSettingsFollower operatorFollower;
    private final UpstreamDispatcher dispatcher;
    private final PoisonRequestDetector crashes;
    private final LostUpstreamAnnouncer lostUpstreams;
    private final DeclaredLimits limits;
    private final AnnouncedDepartures departures;
    private final UpstreamStatementHandler statements;
    private final BodyMemory bodies;
    private final InFlightRequests inFlight;
    private final RateAdmission rates;
    private final RatePeers ratePeers;
    private final Ingress ingress;
    private final PeerNetwork network;
    private volatile HttpServer callers;
    private final EventLoopLag lag = new EventLoopLag(CHECK_PERIOD);
    private volatile boolean stopping;
    private boolean stopped;

    private DirectRouter(
            DirectSettings settings,
            Dialect dialect,
            StoreFactory stores,
            Optional<ServerSocketChannel> open) {
        this.settings = settings;
        this.dialect = dialect;
        this.self = VmId.of(settings.vm());
        // Must only differ from the VM's other incarnations; a secure source would delay the start.
        String suffix = Long.toHexString(ThreadLocalRandom.current().nextLong());
        this.incarnation = Incarnation.of(settings.vm() + ":" + suffix);
        this.upstreams = new UpstreamTable(new DrainedZones(settings.zones().drainLimit()));
        this.control = new EventLoopControlThread(loop.events(), clock, metrics);
        this.client = new HttpClient(loop, CONNECT_TIMEOUT, metrics);
        this.store = stores.open(settings, client, control, metrics);
        this.relays = new StoreRelays(control, this::relaySources, this::requestChanges);
        this.members = membership();
        this.peers = new PeerRouters(control, members);
        this.lease = new LeaderLease(control, store, members, self, lag);
        this.handOver = new LeaderHandOver(control, store, lease, peers, members);
        this.limits = new DeclaredLimits(clock, upstreams, peers);
        this.departures = new AnnouncedDepartures(clock, upstreams, peers);
        this.statements = createStatementHandler();
        this.coordinator = createCoordinator();
        this.configuration = new ConfigurationHolder(dialect, this::applyConfiguration);
        this.upstreamFollower = upstreamFollower();
        this.drains = zoneDrains();
        this.operatorFollower = operatorFollower();
        this.dispatcher = createDispatcher();
        this.reports = reports();
        this.crashes =
                new PoisonRequestDetector(
                        control,
                        crashAnnouncer(),
                        this::probe,
                        members::watchesStore,
                        this::isFirstWatcher,
                        metrics);
        this.lostUpstreams = new LostUpstreamAnnouncer(clock, upstreams, peers);
        this.bodies = new BodyMemory(settings.maxBodyBytes().orElse(defaultBodyBytes()));
        this.inFlight = createInFlightRequests();
        Timeline timeline = Timeline.of(settings.vm(), HybridClock.over(clock), TIMELINE_EVENTS);
        this.rates = rates(timeline);
        this.ratePeers = new RatePeers(control, rates);
        this.ingress = ingress();
        this.network = network(timeline);
        ratePeers.over(network);
        peers.start(network, new PeerMessageHandler(messageDependencies(), this::replicasChanged));
        ServerSocketChannel socket =
                open.orElseGet(() -> EarlySocket.listen(settings.callers().socket()));
        control.run(() -> startServing(socket));
        StatusPages pages = new StatusPages(metrics, this::ready);
        control.run(() -> control.every(COUNTER_LOG_PERIOD, pages::logCounters));
        serve(settings.ready().host(), settings.ready().port(), pages::ready);
        if (settings.metricsPort() != 0) {
            serve(settings.peer().host(), settings.metricsPort(), pages::metrics);
        }
    }

    /** Opens the platform's store over the router's own HTTP client. */
    @FunctionalInterface
    public interface StoreFactory {
        /** Opens the store; it must deliver all answers on the router's event loop. */
        PolledStore open(
                DirectSettings settings, HttpClient client, ControlThread control, Metrics metrics);
    }

    /**
     * Starts a router and returns once it listens for callers.
     *
     * @param open the socket for callers that the process has opened already; empty to open one
     * @throws io.damaskyoke.http.HttpException if an address is in use
     */
    public static DirectRouter start(
            DirectSettings settings,
            Dialect dialect,
            StoreFactory stores,
            Optional<ServerSocketChannel> open) {
        DirectRouter router = new DirectRouter(settings, dialect, stores, open);
        LOG.info("router {} listens on {}", router.incarnation, settings.callers());
        return router;
    }

    /** Adds a gauge for the number of log lines that the process has dropped. */
    public void registerDroppedLogLines(Supplier<Long> count) {
        metrics.gauge("log_lines_left_out", count);
    }

    /** Returns true if the load balancer should send callers here. */
    public boolean ready() {
        return !stopping
                && configuration.current().isPresent()
                && upstreamFollower.hasReadOnce()
                && !members.isDelisted();
    }

    /**
     * Stops the router: it reports that it is not ready, serves open and new requests, announces to
     * callers that their connections close, and returns when no request is left or the grace period
     * is nearly over.
     */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        stopping = true;
        LOG.info("stopping, {} requests open", inFlight.size());
        new GracefulShutdown(control, callers, settings.grace(), inFlight).run(lease::close);
        // Last, since a router that is not listed may not spend its share of the rate limits, and
        // would refuse requests that still arrive until the balancer notices.
        control.run(members::deregister);
        network.close();
        store.close();
        loop.close();
        LOG.info("stopped");
    }

    private UpstreamStatementHandler createStatementHandler() {
        ReportedLoads loads = new ReportedLoads(clock, upstreams, metrics);
        return new UpstreamStatementHandler(clock, upstreams, limits, loads, departures, metrics);
    }

    private UpstreamDispatcher createDispatcher() {
        return new UpstreamDispatcher(
                upstreams,
                settings.availabilityZone(),
                settings.zones().regions(),
                clock,
                loop::runAfterRead,
                new EvenShare(self, members::routerIds));
    }

    private DemandReporter reports() {
        return new DemandReporter(
                self,
                new DemandReporter.Dependencies(
                        control,
                        store,
                        members,
                        peers,
                        lease,
                        coordinator,
                        dispatcher,
                        configuration,
                        drains,
                        upstreams,
                        lag));
    }

    private InFlightRequests createInFlightRequests() {
        InFlightRequests.RetryBounds bounds =
                new InFlightRequests.RetryBounds(
                        settings.retryWindow(), settings.retryRatio(), settings.retryExtra());
        return new InFlightRequests(
                dialect,
                client,
                dispatcher,
                clock,
                clock.steady(),
                bounds,
                members::size,
                crashes,
                lostUpstreams,
                statements,
                settings.answerLimits(),
                bodies);
    }

    // Buffers may take as much memory as the heap, by default. The rest is for answers that wait
    // for callers and for what is just being read.
    private static long defaultBodyBytes() {
        return (long) (Runtime.getRuntime().maxMemory() * BODY_PART_OF_MEMORY);
    }

    private CrashAnnouncer crashAnnouncer() {
        return new StoringCrashAnnouncer(
                peers.crashAnnouncer(),
                new QuarantineStore(control, store, members::quarantinePrefix));
    }

    private void probe(
            Upstream upstream,
            boolean trustOpenConnection,
            Consumer<UpstreamCrashDetector.ProbeResult> then) {
        Endpoint endpoint = upstream.facts().endpoint();
        if (trustOpenConnection && client.hasIdleConnection(endpoint)) {
            then.accept(UpstreamCrashDetector.ProbeResult.ALIVE);
            return;
        }
        client.probe(
                endpoint,
                reached ->
                        then.accept(
                                reached.map(
                                                open ->
                                                        open
                                                                ? UpstreamCrashDetector.ProbeResult
                                                                        .ALIVE
                                                                : UpstreamCrashDetector.ProbeResult
                                                                        .CRASHED)
                                        .orElse(UpstreamCrashDetector.ProbeResult.UNKNOWN)));
    }

    // True at the first watcher of the plan: all routers that have read the same list agree on it.
    private boolean isFirstWatcher() {
        return members.plan().watchers().stream().findFirst().filter(self::equals).isPresent();
    }

    private RouterEntry entry() {
        return new RouterEntry(
                self,
                settings.availabilityZone(),
                settings.peer().host(),
                settings.peer().port(),
                settings.capacity());
    }

    private PeerMessageHandler.Dependencies messageDependencies() {
        return new PeerMessageHandler.Dependencies(
                clock,
                peers,
                members,
                coordinator,
                handOver,
                crashes,
                lostUpstreams,
                limits,
                departures,
                reports,
                configuration,
                drains,
                upstreams,
                upstreamFollower,
                followed(),
                relays);
    }

    private Membership membership() {
        return new Membership(
                control,
                store,
                settings.storePrefix(),
                entry(),
                StorePollTimings.ROUTERS,
                relays,
                metrics);
    }

    private UpstreamFollower upstreamFollower() {
        return new UpstreamFollower(
                control, store, dialect, upstreams, StorePollTimings.UPSTREAMS, relays, metrics);
    }

    private ZoneDrains zoneDrains() {
        return new ZoneDrains(
                dialect,
                upstreams.zones(),
                settings.zones().regions().keySet(),
                new DrainListener());
    }

    private OperatorSettingsFollower operatorFollower() {
        return new OperatorSettingsFollower(
                control,
                store,
                dialect,
                configuration,
                drains,
                StorePollTimings.CONFIGURATION,
                relays,
                metrics);
    }

    private Map<String, Follower> followed() {
        return Stream.of(
                        members.follower(),
                        upstreamFollower.follower(),
                        operatorFollower.follower())
                .collect(Collectors.toMap(Follower::prefix, each -> each));
    }

    private List<VmId> relaySources() {
        return members.relays();
    }

    private boolean requestChanges(VmId to, long number, String prefix, long after, Duration wait) {
        return peers.fetchChanges(to, number, prefix, after, wait);
    }

    private Ingress ingress() {
        return new Ingress(
                dialect,
                configuration,
                operatorFollower,
                rates,
                inFlight,
                incarnation,
                new Random(),
                metrics);
    }

    private RateAdmission rates(Timeline timeline) {
        RateAdmission.Parts parts =
                new RateAdmission.Parts(
                        control,
                        store,
                        members,
                        settings.storePrefix(),
                        clock.steady(),
                        metrics,
                        timeline,
                        any -> members.largeRouters());
        return new RateAdmission(parts, self, incarnation, RateSettings.direct());
    }

    private LoadCoordinator createCoordinator() {
        return new LoadCoordinator(
                control,
                upstreams,
                lease,
                new UpstreamClient(client, dialect, control, statements),
                self,
                peers,
                control.clock(),
                ModelSizeRecord.of(control, store, members));
    }

    private PeerNetwork network(Timeline timeline) {
        return PeerNetwork.builder()
                .settings(settings.peer())
                .hello(
                        self,
                        incarnation,
                        AvailabilityZone.of(settings.availabilityZone()),
                        Role.ROUTER)
                .timeline(timeline)
                .clock(clock)
                .metrics(metrics)
                .eventLoops(loop.group())
                .addListener(ratePeers)
                .addListener(peers)
                .build()
                .start();
    }

    private HttpServer serve(String host, int port, io.damaskyoke.http.HttpHandler handler) {
        return HttpServer.start(
                loop, new InetSocketAddress(host, port), HttpLimits.defaults(), handler);
    }

    // Starts reading the store before it serves callers, since their requests need what is read.
    private void startServing(ServerSocketChannel socket) {
        dispatcher.onModelUnavailable(reports::reportSoon);
        departures.onDeparture(coordinator::upstreamListed);
        dispatcher.onRefusedAtArrival(
                reason -> metrics.count("direct_refused_at_arrival", "reason", reason.label()));
        dispatcher.onWaited(metrics.histogram("direct_queue_wait_ms")::update);
        operatorFollower.start();
        upstreamFollower.start(new UpstreamListener());
        members.onQuarantined(crashes::quarantineReadFromStore);
        members.start(this::membersChanged);
        callers = HttpServer.adopt(loop, socket, HttpLimits.defaults(), ingress);
        callers.maxUnread(settings.maxUnreadBytes());
        callers.bodies(bodies);
        metrics.gauge("direct_body_bytes", bodies::bytes);
        metrics.gauge("direct_refused_for_memory", callers::refusedForMemoryCount);
        metrics.gauge("direct_left_before_served", callers::abandonedRequests);
        metrics.gauge("direct_closed_unread", callers::connectionsClosedUnread);
        metrics.gauge("direct_unread_bytes", callers::unreadBytes);
        metrics.gauge("direct_closed_slow_readers", callers::slowReadersClosed);
        metrics.gauge("large_routers", () -> members.largeRouters().size());
        configuration.registerGauges(metrics);
        crashes.registerGauges();
        new DrainProgress(upstreams).registerGauges(metrics);
        limits.registerGauges(metrics);
        statements.registerGauges();
        coordinator.registerMetrics(metrics);
        metrics.gauge("models_unserved", inFlight.unservedModels()::unservedCount);
        String address = settings.peer().host() + ':' + settings.peer().port();
        rates.start(ratePeers, address, Map.of(), LIST_PERIOD, processStart());
        coordinator.start(this::replicasChanged);
        control.every(CHECK_PERIOD, this::check);
        control.every(REPORT_PERIOD, reports::report);
        control.every(GOSSIP_PERIOD, reports::gossip);
        control.every(GOSSIP_PERIOD, limits::announceAgain);
        control.every(SWEEP_PERIOD, client::closeExpired);
    }

    // No other process has spent this VM's shares of the rate limits since this one started.
    private Instant processStart() {
        return clock.instant()
                .minus(Duration.ofNanos(System.nanoTime() - EarlySocket.loadedNanos()));
    }

    private void check() {
        lag.recordTick(clock.instant());
        if (lag.isSlow() && anotherRouterIsFaster()) {
            lease.resign("this VM is slow");
        }
        handOver.check();
        ingress.refuseExpired();
        dispatcher.tick();
        inFlight.enforceTimeouts();
    }

    // If all routers are slow, a change of leader would only interrupt orders and gain nothing.
    private boolean anotherRouterIsFaster() {
        Duration limit = lag.average().dividedBy(RESIGN_LAG_RATIO);
        return peers.lowestReportedLag(members.largeRouters()::contains)
                .filter(least -> least.compareTo(limit) < 0)
                .isPresent();
    }

    private void applyConfiguration(DirectConfiguration now) {
        callers.limits(now.limits());
        dispatcher.setEngineServices(now.modelServices());
        upstreams.setColdLimits(ColdLimits.of(now, settings.cold()));
        upstreams.setTokenMemory(now.tokenMemory());
        coordinator.configurationChanged(now);
        Map<WorkspaceId, Workspace> limited = now.rateLimitedWorkspaces();
        dispatcher.setFairAmongWorkspaces(!limited.isEmpty());
        rates.configured(limited);
        ingress.serveEarlyCalls();
    }

    private void membersChanged() {
        peers.refresh();
        rates.listChanged();
        reports.announceHeldModels();
    }

    private void replicasChanged() {
        dispatcher.tick();
    }

    /**
     * Applies changes of drained zones to dispatcher and load coordinator, after the table has
     * them.
     */
    private final class DrainListener implements ZoneDrains.Listener {
        @Override
        public void drained(String zone) {
            changed(zone);
        }

        @Override
        public void restored(String zone) {
            changed(zone);
        }

        // The upstreams of a zone may be cold when operators drain it and when they restore it.
        private void changed(String zone) {
            upstreams.markPossiblyCold(zone, clock.instant());
            coordinator.drainedZonesChanged(upstreams.zones().all().keySet());
            dispatcher.tick();
        }
    }

    /** Applies changes of upstreams to the other parts, after the table has them. */
    private final class UpstreamListener implements UpstreamFollower.Listener {
        @Override
        public void upstreamListed(UpstreamFacts facts) {
            crashes.upstreamListed(facts);
            coordinator.upstreamListed(facts);
            dispatcher.sendQueued(facts.service());
        }

        @Override
        public void upstreamRemoved(UpstreamFacts last) {
            crashes.upstreamRemoved(last.id());
            coordinator.upstreamRemoved(last.id());
            client.closeIdle(last.endpoint());
        }
    }
}
