package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.SuspendAwareClock;
import io.damaskyoke.control.cold.EvenShare;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.direct.WorkspaceSpec;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.upstreams.DrainedZones;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.Follower;
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
import java.time.InstantSource;
import java.util.HashMap;
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
 * A router that reaches upstreams itself: {@code DirectRouter.start(settings, dialect, stores,
 * socket)}.
 *
 * <p>You get it once it listens; it says that it is ready once it knows the configuration and the
 * upstreams. {@link #stop()} ends it without cutting anything off.
 */
public final class DirectRouter {
    private static final Logger LOG = LogManager.getLogger(DirectRouter.class);

    /** Upstreams are a millisecond away; one that takes longer is dark or drops packets. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

    private static final Duration CHECK = Duration.ofMillis(50);
    private static final Duration REPORT = Duration.ofMillis(150);
    private static final Duration GOSSIP = Duration.ofSeconds(1);
    private static final Duration COUNTERS = Duration.ofSeconds(10);
    private static final Duration SWEEP = Duration.ofMillis(500);
    private static final Duration LIST_PERIOD = Duration.ofMillis(500);

    /** A leader has more to do than the others; only one this many times as quick would gain. */
    private static final int MUCH_QUICKER = 4;

    private static final int TIMELINE_EVENTS = 500;

    private final DirectSettings settings;
    private final Dialect dialect;
    private final VmId self;
    private final Incarnation incarnation;
    private final HttpLoop loop = HttpLoop.start();
    private final InstantSource clock = SuspendAwareClock.start();
    private final Metrics metrics = new Metrics();
    private final LoopControl control;
    private final HttpClient client;
    private final PolledStore store;
    private final UpstreamTable upstreams;
    private final StoreRelays relays;
    private final Membership members;
    private final Neighbours neighbours;
    private final OrderLease lease;
    private final OrderLeader leader;
    private final OrderHandOver handOver;
    private final ConfigurationHolder configuration;
    private final DemandReports reports;
    private final UpstreamFollower upstreamFollower;
    private final ZoneDrains drains;
    private final OperatorFollower operatorFollower;
    private final Dispatch dispatch;
    private final PoisonRequestDetector crashes;
    private final LostUpstreams lost;
    private final DeclaredLimits limits;
    private final Flows flows;
    private final RateAdmission rates;
    private final RatePeers ratePeers;
    private final Ingress ingress;
    private final PeerNetwork network;
    private volatile HttpServer callers;
    private final LoopLag lag = new LoopLag(CHECK);
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
        // Need only differ from this VM's other lives; a secure source would hold the start up.
        String life = Long.toHexString(ThreadLocalRandom.current().nextLong());
        this.incarnation = Incarnation.of(settings.vm() + ":" + life);
        this.upstreams = new UpstreamTable(new DrainedZones(settings.zones().drainLimit()));
        this.control = new LoopControl(loop.events(), clock, new LoopHolds(metrics));
        this.client = new HttpClient(loop, CONNECT_TIMEOUT, metrics);
        this.store = stores.open(settings, client, control, metrics);
        this.relays = new StoreRelays(control, this::relaySources, this::askRelay);
        this.members = membership();
        this.neighbours = new Neighbours(control, members);
        this.lease = new OrderLease(control, store, members, self, lag);
        this.handOver = new OrderHandOver(control, store, lease, neighbours, members);
        UpstreamClient calls = new UpstreamClient(client, dialect, control);
        this.leader = new OrderLeader(control, upstreams, lease, calls, self, neighbours);
        this.configuration = new ConfigurationHolder(dialect, this::configured);
        this.upstreamFollower = upstreamFollower();
        this.drains = zoneDrains();
        this.operatorFollower = operatorFollower();
        this.dispatch = dispatch();
        this.reports = reports();
        this.crashes =
                new PoisonRequestDetector(
                        control, crashNews(), this::look, members::watches, this::first, metrics);
        this.lost = new LostUpstreams(clock, upstreams, neighbours);
        this.limits = new DeclaredLimits(clock, upstreams, neighbours);
        this.flows = flows();
        Timeline timeline = Timeline.of(settings.vm(), HybridClock.over(clock), TIMELINE_EVENTS);
        this.rates = rates(timeline);
        this.ratePeers = new RatePeers(control, rates);
        this.ingress = ingress();
        this.network = network(timeline);
        ratePeers.over(network);
        neighbours.start(network, new NeighbourNews(newsParts(), this::replicasChanged));
        ServerSocketChannel socket =
                open.orElseGet(() -> EarlySocket.listen(settings.callers().socket()));
        control.run(() -> begin(socket));
        Pages pages = new Pages(metrics, this::ready);
        control.run(() -> control.every(COUNTERS, pages::logCounters));
        serve(settings.ready().host(), settings.ready().port(), pages::ready);
        if (settings.metricsPort() != 0) {
            serve(settings.peer().host(), settings.metricsPort(), pages::metrics);
        }
    }

    /** Opens the platform's store over the router's own client. */
    @FunctionalInterface
    public interface StoreFactory {
        /** The store; all its answers come on the router's one thread. */
        PolledStore open(
                DirectSettings settings, HttpClient client, ControlThread control, Metrics metrics);
    }

    /**
     * Starts a router and returns once it listens: on the socket for callers that the process has
     * {@code open} already, or on one of its own.
     *
     * @throws io.damaskyoke.http.HttpException if an address is taken
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

    /** Shows how many lines of log the process has left out, beside the router's own counts. */
    public void logLinesLeftOut(Supplier<Long> count) {
        metrics.gauge("log_lines_left_out", count);
    }

    /** True if callers should be sent here. */
    public boolean ready() {
        return !stopping && configuration.current().isPresent() && upstreamFollower.everRead();
    }

    /**
     * Stops: says that it is not ready, serves what is open and what still comes, tells callers
     * that their connection ends, and returns when nothing is left or the grace is nearly over.
     */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        stopping = true;
        LOG.info("stopping, {} requests open", flows.size());
        new Shutdown(control, callers, settings.grace(), flows).run(lease::close);
        // Last, since a router that is off the list may not spend its share, and would refuse what
        // still comes while the balancer notices.
        control.run(members::leave);
        network.close();
        store.close();
        loop.close();
        LOG.info("stopped");
    }

    private Dispatch dispatch() {
        return new Dispatch(
                upstreams,
                settings.availabilityZone(),
                settings.zones().regions(),
                clock,
                loop::whenRead,
                new EvenShare(self, members::routers));
    }

    private DemandReports reports() {
        return new DemandReports(
                self,
                new DemandReports.Parts(
                        control,
                        store,
                        members,
                        neighbours,
                        lease,
                        leader,
                        dispatch,
                        configuration,
                        drains,
                        upstreams,
                        lag));
    }

    private Flows flows() {
        Flows.RetryBounds bounds =
                new Flows.RetryBounds(
                        settings.retryWindow(), settings.retryRatio(), settings.retryExtra());
        return new Flows(
                dialect, client, dispatch, clock, bounds, members::size, crashes, lost, limits);
    }

    private CrashAnnouncer crashNews() {
        return new StoringCrashAnnouncer(
                neighbours.crashNews(),
                new QuarantineStore(control, store, members.keptOutPrefix()));
    }

    private void look(
            Upstream upstream, boolean vouch, Consumer<UpstreamCrashDetector.ProbeResult> then) {
        Endpoint endpoint = upstream.facts().endpoint();
        if (vouch && client.keeps(endpoint)) {
            then.accept(UpstreamCrashDetector.ProbeResult.ALIVE);
            return;
        }
        client.reach(
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

    // One router that all agree on, unless the list is new to one of them.
    private boolean first() {
        return members.plan().watchers().stream().findFirst().filter(self::equals).isPresent();
    }

    private RouterEntry entry() {
        return new RouterEntry(
                self, settings.availabilityZone(), settings.peer().host(), settings.peer().port());
    }

    private NeighbourNews.Parts newsParts() {
        return new NeighbourNews.Parts(
                clock,
                neighbours,
                members,
                leader,
                handOver,
                crashes,
                lost,
                limits,
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
                control, store, settings.storePrefix(), entry(), Paces.ROUTERS, relays, metrics);
    }

    private UpstreamFollower upstreamFollower() {
        return new UpstreamFollower(
                control, store, dialect, upstreams, Paces.UPSTREAMS, relays, metrics);
    }

    private ZoneDrains zoneDrains() {
        return new ZoneDrains(
                dialect,
                upstreams.zones(),
                settings.zones().regions().keySet(),
                new DrainListener());
    }

    private OperatorFollower operatorFollower() {
        return new OperatorFollower(
                control,
                store,
                dialect,
                configuration,
                drains,
                Paces.CONFIGURATION,
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
        return members.sources();
    }

    private boolean askRelay(VmId to, long number, String prefix, long after, Duration wait) {
        return neighbours.askChanges(to, number, prefix, after, wait);
    }

    private Ingress ingress() {
        return new Ingress(
                dialect,
                configuration,
                operatorFollower,
                rates,
                flows,
                incarnation,
                new Random(),
                metrics);
    }

    private RateAdmission rates(Timeline timeline) {
        RateAdmission.Parts parts =
                new RateAdmission.Parts(
                        control, store, members, settings.storePrefix(), metrics, timeline);
        return new RateAdmission(parts, self, incarnation, RateSettings.direct());
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
                .on(loop.group())
                .listen(ratePeers)
                .listen(neighbours)
                .build()
                .start();
    }

    private HttpServer serve(String host, int port, io.damaskyoke.http.HttpHandler handler) {
        return HttpServer.start(
                loop, new InetSocketAddress(host, port), HttpLimits.usual(), handler);
    }

    // The store is asked before callers are served: their requests need its answers first of all.
    private void begin(ServerSocketChannel socket) {
        dispatch.onStarved(reports::soon);
        operatorFollower.start();
        upstreamFollower.start(new UpstreamListener());
        members.onKeptOut(crashes::quarantineReadFromStore);
        members.start(this::membersChanged);
        callers = HttpServer.adopt(loop, socket, HttpLimits.usual(), ingress);
        metrics.gauge("direct_left_before_served", callers::leftUnserved);
        crashes.registerGauges();
        new DrainProgress(upstreams).show(metrics);
        limits.registerGauges(metrics);
        leader.show(metrics);
        metrics.gauge("models_unserved", flows.unserved()::many);
        String address = settings.peer().host() + ':' + settings.peer().port();
        rates.start(ratePeers, address, Map.of(), LIST_PERIOD, processBegan());
        leader.start(this::replicasChanged);
        control.every(CHECK, this::check);
        control.every(REPORT, reports::report);
        control.every(GOSSIP, reports::gossip);
        control.every(GOSSIP, limits::announceAgain);
        control.every(SWEEP, client::sweep);
    }

    // Nobody else has spent this VM's shares since its process took its first step.
    private Instant processBegan() {
        return clock.instant()
                .minus(Duration.ofNanos(System.nanoTime() - EarlySocket.loadedNanos()));
    }

    private void check() {
        lag.ticked(clock.instant());
        if (lag.slow() && othersAreQuicker()) {
            lease.resign("this VM is slow");
        }
        handOver.check();
        ingress.check();
        dispatch.tick();
        flows.check();
    }

    // Where all are slow, a change of leader would only cost the orders that it interrupts.
    private boolean othersAreQuicker() {
        Duration much = lag.average().dividedBy(MUCH_QUICKER);
        return neighbours.leastLate().filter(least -> least.compareTo(much) < 0).isPresent();
    }

    private void configured(DirectConfiguration now) {
        callers.limits(now.limits());
        dispatch.configured(now.modelServices());
        upstreams.setColdLimits(ColdLimits.of(now, settings.cold()));
        leader.configured(now);
        Map<WorkspaceId, Workspace> limited = new HashMap<>();
        for (WorkspaceSpec workspace : now.workspaces().values()) {
            if (workspace.hasRateLimit()) {
                limited.put(workspace.workspace().id(), workspace.workspace());
            }
        }
        rates.configured(limited);
        ingress.configured();
    }

    private void membersChanged() {
        neighbours.refresh();
        rates.listChanged();
        reports.tellAll();
    }

    private void replicasChanged() {
        dispatch.tick();
    }

    /** Tells those that send or order what zones are drained, after the table has it. */
    private final class DrainListener implements ZoneDrains.Listener {
        @Override
        public void drained(String zone) {
            changed(zone);
        }

        @Override
        public void restored(String zone) {
            changed(zone);
        }

        // A zone's upstreams may be cold when operators drain it, and when they take that back.
        private void changed(String zone) {
            upstreams.markPossiblyCold(zone, clock.instant());
            leader.zonesDrained(upstreams.zones().all().keySet());
            dispatch.tick();
        }
    }

    /** Listens to what becomes of upstreams, after the table has it. */
    private final class UpstreamListener implements UpstreamFollower.Listener {
        @Override
        public void upstreamListed(UpstreamFacts facts) {
            crashes.upstreamListed(facts);
            leader.listed(facts);
            dispatch.drain(facts.service());
        }

        @Override
        public void upstreamRemoved(UpstreamFacts last) {
            crashes.upstreamRemoved(last.id());
            leader.gone(last.id());
            client.forget(last.endpoint());
        }
    }
}
