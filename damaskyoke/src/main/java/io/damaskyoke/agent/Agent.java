package io.damaskyoke.agent;

import io.damaskyoke.control.claims.KeyedOutcomes;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.control.serving.ServingInput;
import io.damaskyoke.control.serving.ServingMachine;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Prometheus;
import io.damaskyoke.node.Node;
import io.damaskyoke.node.ReadyLine;
import io.damaskyoke.operator.OperatorServer;
import io.damaskyoke.peer.ExchangeServer;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.Role;
import io.damaskyoke.peer.wire.Draining;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Heartbeat;
import io.damaskyoke.platform.Registration;
import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.upstream.Engine;
import io.damaskyoke.upstream.HttpEngine;
import io.damaskyoke.upstream.HttpUpstream;
import io.damaskyoke.upstream.Upstream;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.stream.SystemMaterializer;

/**
 * Runs an agent: the process beside one upstream that takes requests from routers and sends them to
 * that upstream.
 *
 * <p>{@code Agent agent = Agent.start(settings); ... agent.stop();}
 *
 * <p>The agent is the only process that talks to its upstream. Routers find it by its registration
 * in the store.
 */
public final class Agent {
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration OPERATOR_TIMEOUT = Duration.ofSeconds(20);
    private static final int MAX_KEYED_OUTCOMES = 1_000;
    private static final Duration OPERATOR_STOP_TIMEOUT = Duration.ofSeconds(1);

    private final AgentSettings settings;
    private final Node node;
    private final KeyedOutcomes outcomes;
    private final RequestRunner runner;
    private final PeerNetwork network;
    private final OperatorServer operators;
    private final Registrar registrar;
    private boolean stopped;
    private volatile boolean draining;

    private Agent(AgentSettings settings) {
        this.settings = settings;
        this.node = Node.start(settings.process(), settings.platform(), Role.AGENT);
        this.outcomes = new KeyedOutcomes(node.vm(), MAX_KEYED_OUTCOMES);
        HttpUpstream http = httpUpstream();
        boolean isEngine = settings.upstream().kind() == AgentSettings.Kind.ENGINE;
        Engine engine = isEngine ? engine(http) : null;
        Upstream upstream = isEngine ? engine : http;
        this.runner = runner(upstream);
        if (isEngine) {
            runner.replicas(EngineReplicas.start(node, engine, settings.upstream(), runner::feed));
        }
        this.network = startNetwork();
        node.join(network);
        this.operators = startOperators();
        this.registrar = new Registrar(node, registration());
        registrar.start();
        node.control().every(TICK_PERIOD, () -> runner.feed(new ServingInput.Tick()));
    }

    /**
     * Starts an agent and returns once it listens.
     *
     * @throws AgentException if the agent can't start
     */
    public static Agent start(AgentSettings settings) {
        try {
            return new Agent(settings);
        } catch (CompletionException e) {
            throw new AgentException(
                    AgentException.Code.START_FAILED, e.getCause().getMessage(), e.getCause());
        }
    }

    /** Returns the line that the process prints once it accepts requests. */
    public ReadyLine ready() {
        return node.readyLine(settings.operator().host(), operators.port(), network.port());
    }

    /**
     * Stops gracefully: announces the drain to the routers, withdraws the registration, refuses new
     * requests as not run, finishes the accepted ones up to the limit in the settings, and then
     * closes all connections. A second call returns when the first one has returned.
     */
    public synchronized void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        node.timeline().add(EventType.DRAINING, node.vm().value());
        draining = true;
        Frame announcement = Frame.newBuilder().setDraining(Draining.getDefaultInstance()).build();
        network.links().forEach(link -> link.send(announcement));
        registrar.withdraw(settings.platform().storeTimeout());
        node.control().run(() -> runner.feed(new ServingInput.DrainStarted()));
        awaitDrained(settings.stop().limit());
        operators.stop(OPERATOR_STOP_TIMEOUT).toCompletableFuture().join();
        network.close();
        node.close();
    }

    private HttpUpstream httpUpstream() {
        return HttpUpstream.builder()
                .system(node.system().classicSystem())
                .url(settings.upstream().url())
                .connectTimeout(settings.upstream().connectTimeout())
                .maxRunning(settings.upstream().maxRunning())
                .clock(node.control().clock())
                .metrics(node.metrics())
                .build();
    }

    private Engine engine(HttpUpstream http) {
        return HttpEngine.builder()
                .upstream(http)
                .system(node.system().classicSystem())
                .url(settings.upstream().url())
                .connectTimeout(settings.upstream().connectTimeout())
                .loadTimeout(settings.upstream().loadTimeout())
                .build();
    }

    private RequestRunner runner(Upstream upstream) {
        int maxRunning = settings.upstream().maxRunning();
        return new RequestRunner(
                node.control(),
                ServingMachine.of(maxRunning, settings.upstream().maxWaiting(), this::weight),
                upstream,
                node.configuration()::current,
                node.metrics(),
                node.timeline(),
                maxRunning,
                settings.maxKeptBody(),
                outcomes,
                SystemMaterializer.get(node.system()).materializer());
    }

    private double weight(WorkspaceId id) {
        Workspace workspace = node.configuration().current().workspaces().get(id);
        return workspace == null ? 1.0 : workspace.weight();
    }

    private PeerNetwork startNetwork() {
        ExchangeServer server =
                ExchangeServer.of(
                        runner,
                        node.control().clock(),
                        SystemMaterializer.get(node.system()).materializer(),
                        node.metrics());
        return node.network(settings.peer())
                .heartbeat(this::heartbeat)
                .addListener(server)
                .addListener(new ClaimQueryResponder(node.control(), outcomes))
                .build()
                .start();
    }

    private Heartbeat heartbeat() {
        return node.heartbeat().setLoad(runner.load()).setDraining(draining).build();
    }

    private OperatorServer startOperators() {
        return OperatorServer.builder(node.system())
                .address(settings.operator().host(), settings.operator().port())
                .token(settings.operator().token())
                .status(this::status)
                .timeline(node.timeline())
                .metrics(() -> Prometheus.text(node.metrics().registry()))
                .start()
                .toCompletableFuture()
                .orTimeout(OPERATOR_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    private AgentStatus status() {
        return node.control()
                .call(() -> AgentStatus.of(node, settings.upstream(), runner.load(), draining))
                .toCompletableFuture()
                .orTimeout(OPERATOR_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    private Registration registration() {
        return new Registration(
                node.vm(),
                node.incarnation(),
                PoolName.of(settings.upstream().pool()),
                node.zone(),
                settings.peer().host(),
                network.port());
    }

    private void awaitDrained(Duration limit) {
        long deadline = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() < deadline && !drained()) {
            sleep(TICK_PERIOD);
        }
    }

    private boolean drained() {
        return node.control().call(runner::drained).toCompletableFuture().join();
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
