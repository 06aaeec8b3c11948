package io.damaskyoke.router;

import io.damaskyoke.caller.CallerServer;
import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.KeyHasher;
import io.damaskyoke.control.configuration.TicketParser;
import io.damaskyoke.control.rates.RateSettings;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.control.routing.RetryBudget;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.metrics.Prometheus;
import io.damaskyoke.node.Node;
import io.damaskyoke.node.ReadyLine;
import io.damaskyoke.operator.OperatorServer;
import io.damaskyoke.operator.ProcessEntry;
import io.damaskyoke.operator.Tickets;
import io.damaskyoke.peer.ExchangeClient;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.Role;
import io.damaskyoke.rates.RateAdmission;
import io.damaskyoke.rates.RatePeers;
import io.damaskyoke.settings.RouterSettings;
import io.damaskyoke.timeline.EventType;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.UnaryOperator;

/**
 * A router process: serves callers and operators, and forwards requests to the agents.
 *
 * <p>{@code Router router = Router.start(settings); ... router.stop();}
 */
public final class Router {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration IDLE_LINK_CHECK_PERIOD = Duration.ofSeconds(10);
    private static final Duration CLAIM_WRITE_TIMEOUT = Duration.ofSeconds(2);
    private static final long STOP_POLL_MILLIS = 20;

    private final RouterSettings settings;
    private final Node node;
    private final AtomicLong counter = new AtomicLong();
    private final Fleet fleet;
    private final PlacementCoordinator placement;
    private final RateAdmission rates;
    private final RequestDispatcher dispatcher;
    private final PeerNetwork network;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final ProcessList processList;
    private boolean stopped;
    private volatile boolean stopping;
    private volatile boolean closed;

    private Router(RouterSettings settings) {
        this.settings = settings;
        this.node = Node.start(settings.process(), settings.platform(), Role.ROUTER);
        this.fleet = Fleet.from(node.zone());
        ExchangeClient client =
                ExchangeClient.of(
                        settings.peer(),
                        () -> node.configuration().current().sequence(),
                        node.metrics());
        ClaimQueries queries = new ClaimQueries(node.control());
        VmLiveness liveness = new VmLiveness(node.control().clock());
        this.placement = placement(liveness);
        this.rates =
                new RateAdmission(
                        rateParts(node), node.vm(), node.incarnation(), RateSettings.defaults());
        RatePeers ratePeers = new RatePeers(node.control(), rates);
        this.network =
                node.network(settings.peer())
                        .addListener(client)
                        .addListener(queries)
                        .addListener(new AgentListener(node.control(), fleet))
                        .addListener(liveness)
                        .addListener(ratePeers)
                        .build()
                        .start();
        ratePeers.over(network);
        this.dispatcher = new RequestDispatcher(dispatcherDependencies(client, queries));
        node.control().run(() -> startRates(ratePeers));
        node.configuration().onChange(now -> node.control().run(() -> configurationChanged(now)));
        this.processList =
                new ProcessList(node.control(), node.vmList(), fleet, node.vm(), this::operatorUrl);
        AgentDirectory agents = new AgentDirectory(fleet, node.metrics());
        node.onVmList(agents::updateVmList);
        node.onAgents(agents::updateRegistrations);
        node.join(network);
        placement.start(network);
        node.control().every(IDLE_LINK_CHECK_PERIOD, dispatcher::closeIdleLinks);
        this.callers = await(startCallers());
        this.operators = await(startOperators());
    }

    /**
     * Starts a router and returns once it listens; throws a {@link RouterException} if it can't.
     */
    public static Router start(RouterSettings settings) {
        try {
            return new Router(settings);
        } catch (CompletionException e) {
            throw new RouterException(
                    RouterException.Code.START_FAILED, e.getCause().getMessage(), e.getCause());
        }
    }

    /** Returns the line that the process prints once it accepts requests. */
    public ReadyLine ready() {
        String host = settings.caller().host();
        return node.readyLine(settings.operator().host(), operators.port(), network.port())
                .callers("http://" + host + ":" + callers.port());
    }

    /**
     * Stops gracefully: reports not ready, waits for the load balancer to notice, accepts no new
     * requests, lets running ones finish within the settings' limit, and then closes. A second call
     * returns when the first one has.
     */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        stopping = true;
        node.timeline().add(EventType.DRAINING, node.vm().value());
        sleep(settings.stop().balancerWait());
        closed = true;
        callers.unbind();
        awaitNone(this::running, settings.stop().limit());
        awaitNone(this::claimsPending, CLAIM_WRITE_TIMEOUT);
        node.control().call(this::abortAll).toCompletableFuture().join();
        rates.leave(settings.platform().storeTimeout());
        callers.terminate(Duration.ofSeconds(1)).toCompletableFuture().join();
        operators.stop(Duration.ofSeconds(1)).toCompletableFuture().join();
        network.close();
        node.close();
    }

    private RequestDispatcher.Dependencies dispatcherDependencies(
            ExchangeClient client, ClaimQueries queries) {
        ControlThread control = node.control();
        return new RequestDispatcher.Dependencies(
                control,
                fleet,
                network,
                client,
                rates,
                RetryBudget.of(settings.control().retryBudget()),
                Claims.start(node, queries, settings.claims(), settings.control().seed()),
                node.metrics(),
                node.timeline(),
                node.configuration()::current,
                () -> node.configuration().isConfirmed(settings.control().unconfirmedLimit()),
                settings.control().maxWaiting(),
                placement::whenPlaced);
    }

    private PlacementCoordinator placement(VmLiveness liveness) {
        return new PlacementCoordinator(
                node,
                fleet,
                liveness,
                settings.control().placementLease(),
                () -> node.configuration().isConfirmed(settings.control().unconfirmedLimit()));
    }

    private static RateAdmission.Parts rateParts(Node node) {
        return new RateAdmission.Parts(
                node.control(),
                node.store(),
                node.vmList(),
                node.storePrefix(),
                node.control().clock(),
                node.metrics(),
                node.timeline(),
                UnaryOperator.identity());
    }

    private void startRates(RatePeers peers) {
        String address = settings.peer().host() + ':' + network.port();
        Duration listPeriod = settings.platform().vmListPeriod();
        rates.start(peers, address, node.configuration().current().workspaces(), listPeriod);
    }

    private CompletionStage<CallerServer> startCallers() {
        return CallerServer.builder()
                .settings(settings.caller())
                .dispatcher(dispatcher)
                .configuration(node.configuration()::current)
                .hasher(KeyHasher.of(settings.process().keySecret()))
                .clock(node.control().clock())
                .metrics(node.metrics())
                .exchangeIds(() -> new ExchangeId(node.incarnation(), counter.incrementAndGet()))
                .accepting(() -> !closed)
                .start(node.system().classicSystem());
    }

    private CompletionStage<OperatorServer> startOperators() {
        KeyHasher hasher = KeyHasher.of(settings.process().keySecret());
        return OperatorServer.builder(node.system())
                .address(settings.operator().host(), settings.operator().port())
                .token(settings.operator().token())
                .tickets(Tickets.of(TicketParser.withHasher(hasher), node.configuration()))
                .status(this::status)
                .timeline(node.timeline())
                .processes(this::processes)
                .metrics(() -> Prometheus.text(node.metrics().registry()))
                .ready(this::reasonNotReady)
                .start();
    }

    private CompletionStage<List<ProcessEntry>> processes() {
        return processList.read();
    }

    private RouterStatus status() {
        return node.control()
                .call(() -> RouterStatus.of(node, fleet, dispatcher, stopping))
                .toCompletableFuture()
                .orTimeout(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    private String operatorUrl() {
        return "http://" + settings.operator().host() + ":" + operators.port();
    }

    private Optional<String> reasonNotReady() {
        if (stopping) {
            return Optional.of("stopping");
        }
        if (!node.configuration().isConfirmed(settings.control().unconfirmedLimit())) {
            return Optional.of("the configuration is not confirmed to be up to date");
        }
        return Optional.empty();
    }

    private void configurationChanged(Configuration now) {
        rates.configured(now.workspaces());
        dispatcher.configurationChanged(now);
        placement.configurationChanged();
    }

    private Void abortAll() {
        dispatcher.flows().forEach(RequestFlow::abort);
        return null;
    }

    private static void awaitNone(IntSupplier left, Duration limit) {
        long end = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() < end && left.getAsInt() > 0) {
            sleep(Duration.ofMillis(STOP_POLL_MILLIS));
        }
    }

    private int claimsPending() {
        return node.control().call(dispatcher.claims::pendingWrites).toCompletableFuture().join();
    }

    private int running() {
        return node.control().call(dispatcher::running).toCompletableFuture().join();
    }

    private static <T> T await(CompletionStage<T> stage) {
        try {
            return stage.toCompletableFuture().get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new CompletionException(e.getCause());
        } catch (TimeoutException e) {
            throw new CompletionException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CompletionException(e);
        }
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
