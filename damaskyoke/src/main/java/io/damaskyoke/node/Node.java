package io.damaskyoke.node;

import com.typesafe.config.ConfigFactory;
import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.MonotonicClock;
import io.damaskyoke.control.PekkoControlThread;
import io.damaskyoke.control.configuration.ConfigurationService;
import io.damaskyoke.control.placement.PollingInterval;
import io.damaskyoke.control.relay.OutageConfirmation;
import io.damaskyoke.control.relay.RegistrationTable.Row;
import io.damaskyoke.control.relay.RelayMachine;
import io.damaskyoke.control.relay.RelaySettings;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.PeerNetworkBuilder;
import io.damaskyoke.peer.Role;
import io.damaskyoke.peer.wire.Heartbeat;
import io.damaskyoke.platform.EtcdStore;
import io.damaskyoke.platform.HttpVmList;
import io.damaskyoke.platform.VmList;
import io.damaskyoke.platform.WatchedStore;
import io.damaskyoke.settings.PeerSettings;
import io.damaskyoke.settings.PlatformSettings;
import io.damaskyoke.settings.ProcessSettings;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import scala.concurrent.Await;

/**
 * The parts that every process of the system has: {@code Node.start(settings.process(),
 * settings.platform(), Role.AGENT)}. {@link #close()} ends them.
 */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Node.class);
    private static final Duration CLOSE_LIMIT = Duration.ofSeconds(5);
    private static final Duration CONFIRM_PERIOD = Duration.ofSeconds(2);
    private static final Duration OUTAGE_LIST_PERIOD = Duration.ofSeconds(1);
    private static final int SELDOM = 12;

    private final ProcessSettings process;
    private final Role role;
    private final Incarnation incarnation;
    private final ActorSystem<Void> system;
    private final Metrics metrics = new Metrics();
    private final StatusSections sections = new StatusSections();
    private final Timeline timeline;
    private final ControlThread control;
    private final WatchedStore store;
    private final VmList vmList;
    private int listed;
    private final String storePrefix;
    private final ConfigurationService configuration;
    private final AgentRegistrations agents;
    private final RelayMachine relays;
    private final OutageConfirmation outage;
    private final VmListReader listReader;
    private final Duration listPeriod;

    private Node(ProcessSettings process, PlatformSettings platform, Role role) {
        this.process = process;
        this.role = role;
        this.incarnation =
                Incarnation.of(process.vm() + ":" + UUID.randomUUID().toString().substring(0, 13));
        InstantSource clock = MonotonicClock.start();
        this.timeline =
                Timeline.of(process.vm(), HybridClock.over(clock), process.timelineEvents());
        this.system = ActorSystem.create(Behaviors.empty(), "damaskyoke", ConfigFactory.load());
        this.control = PekkoControlThread.start(system, clock, metrics);
        this.store =
                EtcdStore.builder(system)
                        .endpoints(platform.store())
                        .timeout(platform.storeTimeout())
                        .metrics(metrics)
                        .timeline(timeline)
                        .build();
        this.vmList = HttpVmList.of(system, platform.vmList(), platform.storeTimeout());
        this.storePrefix = platform.storePrefix();
        this.configuration =
                ConfigurationService.builder(control, store, timeline)
                        .prefix(platform.storePrefix())
                        .pollPeriod(CONFIRM_PERIOD)
                        .followStore(false)
                        .build();
        this.agents = new AgentRegistrations(control, store, storePrefix, metrics);
        this.relays =
                RelayMachine.of(vm(), zone(), RelaySettings.defaults(), new SplittableRandom());
        this.outage = OutageConfirmation.of(vm());
        this.listPeriod = platform.vmListPeriod();
        this.listReader = new VmListReader(control, vmList, this::listPause, metrics);
        listReader.onRead((vms, askedAt) -> listed = vms.size());
    }

    /** Starts the parts; the configuration begins to come in. */
    public static Node start(ProcessSettings process, PlatformSettings platform, Role role) {
        Node node = new Node(process, platform, role);
        node.timeline.add(EventType.STARTED, node.incarnation.value());
        node.configuration.start();
        LOG.info("{} {} started as {}", role.wireName(), process.vm(), node.incarnation);
        return node;
    }

    /** The VM of this process. */
    public VmId vm() {
        return VmId.of(process.vm());
    }

    /** How long to wait between two looks at the placement table; control thread only. */
    public Supplier<Duration> placementPause() {
        PollingInterval pace = new PollingInterval(new Random(incarnation.hashCode()));
        return () -> pace.next(listed);
    }

    /** The availability zone of this process. */
    public AvailabilityZone zone() {
        return AvailabilityZone.of(process.availabilityZone());
    }

    /** This life of this process. */
    public Incarnation incarnation() {
        return incarnation;
    }

    /** Runs streams and HTTP. */
    public ActorSystem<Void> system() {
        return system;
    }

    /** The control thread. */
    public ControlThread control() {
        return control;
    }

    /** Counters and histograms. */
    public Metrics metrics() {
        return metrics;
    }

    /** What parts add to this process's status. */
    public StatusSections sections() {
        return sections;
    }

    /** This process's part of the time line. */
    public Timeline timeline() {
        return timeline;
    }

    /** The platform's key-value service. */
    public WatchedStore store() {
        return store;
    }

    /** The platform's list of VMs. */
    public VmList vmList() {
        return vmList;
    }

    /** What every key of this deployment begins with. */
    public String storePrefix() {
        return storePrefix;
    }

    /** What operators have set. */
    public ConfigurationService configuration() {
        return configuration;
    }

    /** How long ago the configuration was last confirmed, in milliseconds; null if never. */
    public Long confirmedMillisAgo() {
        return configuration
                .confirmedAt()
                .map(at -> Duration.between(at, control.clock().instant()).toMillis())
                .orElse(null);
    }

    /** Hears of each reading of the platform's list of VMs, on the control thread. */
    public void onVmList(Consumer<List<VmList.Vm>> listener) {
        listReader.onRead((vms, askedAt) -> listener.accept(vms));
    }

    /**
     * Hears of all registrations of agents, in their stored form, whenever one has changed; on the
     * control thread.
     */
    public void onAgents(Consumer<List<byte[]>> listener) {
        agents.onChange(rows -> listener.accept(rows.stream().map(Row::value).toList()));
    }

    /**
     * Takes part in the passing on of configuration and registrations over this network; call it
     * once, after all listeners were added.
     */
    public void join(PeerNetwork network) {
        RelayClient client =
                new RelayClient(
                        new RelayClient.Parts(
                                control,
                                configuration,
                                agents,
                                new RelayServer(control, configuration, agents.table(), metrics),
                                relays,
                                outage,
                                vm(),
                                metrics,
                                role == Role.ROUTER,
                                listPeriod),
                        network);
        listReader.onRead(client::listed);
        control.run(client::start);
        control.run(listReader::read);
    }

    /** What the heartbeats of every process say; add to it. */
    public Heartbeat.Builder heartbeat() {
        return Heartbeat.newBuilder().setConfigSequence(configuration.current().sequence());
    }

    /** Begins a peer network that says who this process is. */
    public PeerNetworkBuilder network(PeerSettings settings) {
        return PeerNetwork.builder()
                .settings(settings)
                .hello(vm(), incarnation, zone(), role)
                .timeline(timeline)
                .clock(control.clock())
                .heartbeat(() -> heartbeat().build())
                .metrics(metrics);
    }

    /** What this process says on standard output once it takes work. */
    public ReadyLine readyLine(String host, int operatorPort, int peerPort) {
        return new ReadyLine(
                role.wireName(),
                process.vm(),
                process.availabilityZone(),
                "http://" + host + ":" + operatorPort,
                peerPort,
                operatorPort);
    }

    /**
     * Agents need the list for nothing but to find their relays, and read it seldom once they have
     * found them: 2,400 of them reading 2,780 lines every few seconds would be the list's main use.
     * Relays that confirm by the word of all routers need to know who these are, as of lately.
     */
    private Duration listPause() {
        boolean pressing = role == Role.ROUTER && outage.isNeeded(control.clock().instant());
        if (pressing && relays.isRelay() && listPeriod.compareTo(OUTAGE_LIST_PERIOD) > 0) {
            return OUTAGE_LIST_PERIOD;
        }
        boolean seldom = role == Role.AGENT && !relays.isRelay() && relays.hasResponsiveRelay();
        return seldom ? listPeriod.multipliedBy(SELDOM) : listPeriod;
    }

    /** Ends the parts; the store's leases and watches go with it. */
    @Override
    public void close() {
        timeline.add(EventType.STOPPED, incarnation.value());
        control.run(listReader::stop);
        configuration.stop();
        store.close();
        system.terminate();
        try {
            Await.ready(
                    system.whenTerminated(),
                    scala.concurrent.duration.Duration.create(
                            CLOSE_LIMIT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            LOG.warn("the actor system did not end within {}", CLOSE_LIMIT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.info("{} {} stopped", role.wireName(), process.vm());
    }
}
