package io.damaskyoke.node;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.ConfigurationFollower;
import io.damaskyoke.control.configuration.ConfigurationService;
import io.damaskyoke.control.configuration.ConfigurationSnapshot;
import io.damaskyoke.control.configuration.TicketException;
import io.damaskyoke.control.relay.OutageAction;
import io.damaskyoke.control.relay.OutageConfirmation;
import io.damaskyoke.control.relay.OutageInput;
import io.damaskyoke.control.relay.RegistrationTable.Delta;
import io.damaskyoke.control.relay.RegistrationTable.Row;
import io.damaskyoke.control.relay.RelayAction;
import io.damaskyoke.control.relay.RelayInput;
import io.damaskyoke.control.relay.RelayMachine;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.wire.ConfigEntries;
import io.damaskyoke.peer.wire.ConfigFetch;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.peer.wire.Registrations;
import io.damaskyoke.peer.wire.SnapshotChunk;
import io.damaskyoke.platform.VmList;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Carries out what the {@link RelayMachine} decides, and hands it what peers say. Its state belongs
 * to the control thread.
 */
final class RelayClient implements PeerListener {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final int MOST_CHUNKS = 1_024;

    private final ControlThread control;
    private final ConfigurationService configuration;
    private final AgentRegistrations agents;
    private final RelayServer server;
    private final RelayMachine machine;
    private final OutageConfirmation outage;
    private final VmId self;
    private final PeerNetwork network;
    private final Metrics metrics;
    private final boolean wantsAgents;
    private final Duration refreshPause;
    private volatile boolean relay;
    private final Map<PeerLink, ByteArrayOutputStream> snapshots = new HashMap<>();
    private final Map<PeerLink, Pages> pages = new HashMap<>();
    private final Map<VmId, VmList.Vm> routers = new HashMap<>();

    /** Pages of registrations of which the last has not come. */
    private static final class Pages {
        private final List<Row> rows = new ArrayList<>();
        private boolean full;
    }

    /**
     * What the client works with.
     *
     * @param wantsAgents whether this process needs the agents' registrations
     * @param refreshPause how long to wait before these are listed again without relays
     */
    record Parts(
            ControlThread control,
            ConfigurationService configuration,
            AgentRegistrations agents,
            RelayServer server,
            RelayMachine machine,
            OutageConfirmation outage,
            VmId self,
            Metrics metrics,
            boolean wantsAgents,
            Duration refreshPause) {}

    RelayClient(Parts parts, PeerNetwork network) {
        this.control = parts.control();
        this.configuration = parts.configuration();
        this.agents = parts.agents();
        this.server = parts.server();
        this.machine = parts.machine();
        this.outage = parts.outage();
        this.self = parts.self();
        this.metrics = parts.metrics();
        this.wantsAgents = parts.wantsAgents();
        this.refreshPause = parts.refreshPause();
        this.network = network;
    }

    void start() {
        network.addListener(this);
        configuration.onChange(server::pushConfiguration);
        agents.onChange(all -> server.pushAgents());
        control.every(TICK, this::tick);
        metrics.gauge("relay", () -> relay ? 1 : 0);
        metrics.gauge("configuration_sequence", () -> configuration.current().sequence());
        metrics.gauge("configuration_confirmed_age_ms", this::confirmedAge);
    }

    /** Milliseconds; -1 if nothing was ever confirmed. */
    private long confirmedAge() {
        return configuration
                .confirmedAt()
                .map(at -> Duration.between(at, control.clock().instant()).toMillis())
                .orElse(-1L);
    }

    void listed(List<VmList.Vm> vms, Instant askedAt) {
        Map<VmId, VmList.Vm> all =
                vms.stream()
                        .filter(vm -> vm.role() == VmList.Role.ROUTER)
                        .collect(Collectors.toMap(VmList.Vm::id, vm -> vm, (one, two) -> two));
        routers.putAll(all);
        configuration.acceptTickets(all.isEmpty() || all.containsKey(self));
        feedOutage(new OutageInput.RoutersListed(all.keySet(), askedAt));
        feed(new RelayInput.VmsListed(vms));
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        switch (frame.getKindCase()) {
            case HEARTBEAT ->
                    control.run(() -> heard(link, frame.getHeartbeat().getConfigSequence()));
            case CONFIG_FETCH -> control.run(() -> server.answer(link, frame.getConfigFetch()));
            case CONFIG_ENTRIES -> control.run(() -> take(link, frame.getConfigEntries()));
            case REGISTRATIONS -> control.run(() -> take(link, frame.getRegistrations()));
            default -> {}
        }
    }

    @Override
    public void closed(PeerLink link) {
        control.run(
                () -> {
                    server.closed(link);
                    snapshots.remove(link);
                    pages.remove(link);
                });
    }

    private void tick() {
        configuration.confirmedAt().ifPresent(at -> feed(new RelayInput.StoreConfirmed(at)));
        configuration.confirmedAt().ifPresent(at -> feedOutage(new OutageInput.Confirmed(at)));
        feed(new RelayInput.Tick());
        // Relays ask for all: their followers take the confirmation from them.
        if (relay) {
            feedOutage(new OutageInput.Tick(ownWord()));
        }
    }

    private OutageInput.RouterState ownWord() {
        return new OutageInput.RouterState(
                configuration.current().sequence(),
                configuration.isSettled(),
                configuration.confirmedSinceStart());
    }

    /** Agents are not on the list of routers, so that the machine does nothing for them. */
    private void feedOutage(OutageInput input) {
        outage.on(input, control.clock().instant()).forEach(this::carryOut);
    }

    private void carryOut(OutageAction action) {
        if (action instanceof OutageAction.AskRouter ask) {
            metrics.count("outage_asks");
            fetch(routers.get(ask.router()), ask.number(), false);
        } else if (action instanceof OutageAction.Confirm confirm) {
            metrics.count("outage_confirmations");
            confirm(confirm.head(), confirm.asOf());
        }
    }

    private void confirm(long head, Instant asOf) {
        configuration.offer(
                new ConfigurationFollower.EntriesReceived(List.of(), head, Optional.of(asOf)));
    }

    private void feed(RelayInput input) {
        machine.on(input, control.clock().instant()).forEach(this::carryOut);
    }

    private void carryOut(RelayAction action) {
        if (action instanceof RelayAction.WatchStore watch) {
            metrics.count("relay_turns");
            relay = watch.on();
            configuration.followStore(watch.on());
            agents.watch(watch.on());
        } else if (action instanceof RelayAction.FollowRelays follow) {
            follow.relays().forEach(relay -> network.link(address(relay)));
        } else if (action instanceof RelayAction.ProbePeer probe) {
            probe(probe);
        } else if (action instanceof RelayAction.ReadStore) {
            metrics.count("relay_store_asked");
            configuration.refresh();
            if (wantsAgents) {
                agents.refresh(refreshPause);
            }
        } else if (action instanceof RelayAction.Confirm confirm) {
            confirm(confirm.head(), confirm.asOf());
        }
    }

    private void probe(RelayAction.ProbePeer probe) {
        metrics.count("relay_probes");
        fetch(probe.peer(), probe.number(), wantsAgents);
    }

    private void fetch(VmList.Vm peer, long number, boolean agentsToo) {
        ConfigFetch fetch =
                ConfigFetch.newBuilder()
                        .setFromSequence(configuration.current().sequence() + 1)
                        .setProbe(number)
                        .setAgents(agentsToo)
                        .setAgentsRevision(agents.table().revision())
                        .build();
        Frame frame = Frame.newBuilder().setConfigFetch(fetch).build();
        network.connect(address(peer)).whenComplete((link, failure) -> sendIfOpen(link, frame));
    }

    private static void sendIfOpen(PeerLink link, Frame frame) {
        if (link != null) {
            link.send(frame);
        }
    }

    private static PeerAddress address(VmList.Vm vm) {
        return new PeerAddress(vm.id(), vm.address(), vm.peerPort());
    }

    private void heard(PeerLink link, long sequence) {
        if (sequence > configuration.current().sequence()) {
            behind(link);
        }
    }

    private void behind(PeerLink link) {
        vm(link).ifPresent(vm -> feed(new RelayInput.NewerEntryAnnounced(vm)));
    }

    private static Optional<VmId> vm(PeerLink link) {
        return link.remote().map(hello -> VmId.of(hello.getVm()));
    }

    private void take(PeerLink link, ConfigEntries frame) {
        if (frame.hasSnapshot()) {
            take(link, frame.getSnapshot());
            return;
        }
        long before = configuration.current().sequence();
        configuration.offer(
                new ConfigurationFollower.EntriesReceived(
                        RelayFrames.entries(frame), frame.getHeadSequence(), Optional.empty()));
        control.run(() -> confirmAndGoOn(link, frame, before));
    }

    private void confirmAndGoOn(PeerLink link, ConfigEntries frame, long before) {
        if (OutageConfirmation.isOutageQuestion(frame.getProbe())) {
            answeredAsk(link, frame);
        } else if (frame.getProbe() != 0) {
            Optional<Duration> age =
                    frame.getConfirmed()
                            ? Optional.of(Duration.ofMillis(frame.getConfirmedAgeMs()))
                            : Optional.empty();
            vm(link).ifPresent(vm -> feed(answered(vm, frame, age)));
        }
        long now = configuration.current().sequence();
        if (now < frame.getHeadSequence() && now > before) {
            behind(link);
        }
    }

    private void answeredAsk(PeerLink link, ConfigEntries frame) {
        OutageInput.RouterState word =
                new OutageInput.RouterState(
                        frame.getHeadSequence(),
                        frame.getSettled(),
                        frame.getConfirmedInThisLife());
        link.remote()
                .map(Hello::getIncarnation)
                .map(Incarnation::of)
                .map(
                        life ->
                                new OutageInput.RouterAnswered(
                                        vm(link).get(), life, frame.getProbe(), word))
                .ifPresent(this::feedOutage);
    }

    private static RelayInput answered(VmId vm, ConfigEntries frame, Optional<Duration> age) {
        return new RelayInput.ProbeAnswered(vm, frame.getProbe(), frame.getHeadSequence(), age);
    }

    private void take(PeerLink link, SnapshotChunk chunk) {
        if (chunk.getIndex() == 0) {
            snapshots.put(link, new ByteArrayOutputStream());
        }
        ByteArrayOutputStream parts = snapshots.get(link);
        if (parts == null || chunk.getCount() > MOST_CHUNKS) {
            return;
        }
        parts.writeBytes(chunk.getData().toByteArray());
        if (chunk.getIndex() + 1 == chunk.getCount()) {
            snapshots.remove(link);
            restore(parts.toByteArray());
        }
    }

    private void restore(byte[] snapshot) {
        try {
            configuration.offer(ConfigurationSnapshot.decode(snapshot));
        } catch (TicketException e) {
            metrics.count("relay_snapshots_unreadable");
        }
    }

    private void take(PeerLink link, Registrations page) {
        if (!wantsAgents) {
            return;
        }
        Pages all = pages.computeIfAbsent(link, any -> new Pages());
        all.full |= page.getFull();
        page.getAgentsList().forEach(row -> all.rows.add(RelayFrames.fromWire(row)));
        if (page.getRevision() != 0) {
            pages.remove(link);
            agents.take(new Delta(all.rows, page.getRevision(), all.full));
        }
    }
}
