package io.damaskyoke.direct;

import com.google.protobuf.ByteString;
import io.damaskyoke.control.Control;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.Departure;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.wire.DepartureFetch;
import io.damaskyoke.peer.wire.Departures;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.HeldModel;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.peer.wire.LeaseEnd;
import io.damaskyoke.peer.wire.ModelDemand;
import io.damaskyoke.peer.wire.ReplicaNews;
import io.damaskyoke.peer.wire.RouterReport;
import io.damaskyoke.peer.wire.RunningCount;
import io.damaskyoke.peer.wire.StoredFetch;
import io.damaskyoke.peer.wire.StoredNews;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** What direct routers tell each other, as frames. Its methods belong to the control thread. */
final class Neighbours implements PeerListener {
    /** Routers report to the giver of orders several times a second. */
    private static final Duration STORE_SEEN = Duration.ofMillis(600);

    private final Control control;
    private final Membership members;
    private final Map<VmId, PeerAddress> connected = new HashMap<>();
    private final Map<VmId, Instant> storeSeen = new TreeMap<>();
    private PeerNetwork network;
    private Hearer hearer;
    private long number;

    /** Hears what other routers say. */
    interface Hearer {
        /** A link to another router has opened; what was sent before did not go over it. */
        void linked();

        /**
         * A router's needs; {@code configuration} is the revision of what it has in force, and
         * {@code upstreams} the one up to which it knows the list of them.
         */
        void reported(LoadInput.Demanded demanded, long configuration, long upstreams);

        /** What upstreams hold, by the giver of orders with this fencing token. */
        void told(VmId giver, long fencing, Map<UpstreamId, HeldModels> held);

        /** A router gave the orders under this lease and can't tell the store that it stopped. */
        void leaseEnded(VmId by, long lease);

        /** A router has an older configuration and asks for ours. */
        void asked(VmId from, long newerThan);

        /** A router has sent its configuration. */
        void configuration(long revision, byte[] value);

        /** A router that the store doesn't tell asks which upstreams leave. */
        void askedDepartures(VmId from, long newerThan);

        /** A router says which upstreams leave. */
        void departures(List<Departure> departures);
    }

    Neighbours(Control control, Membership members) {
        this.control = control;
        this.members = members;
    }

    void start(PeerNetwork given, Hearer hears) {
        network = given;
        hearer = hears;
    }

    /** Connects to the routers that have come, and forgets those that are gone. */
    void refresh() {
        Map<VmId, PeerAddress> now = new HashMap<>();
        members.others().forEach(each -> now.put(each.vm(), each.address()));
        connected
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean gone = !entry.getValue().equals(now.get(entry.getKey()));
                            if (gone) {
                                network.forget(entry.getValue());
                            }
                            return gone;
                        });
        connected.putAll(now);
        connected.values().forEach(network::link);
    }

    /** Says what this router needs to one other, or to all. */
    void report(
            Optional<VmId> to,
            LoadInput.Demanded demanded,
            long configuration,
            long upstreams,
            boolean storeUp) {
        RouterReport.Builder report =
                RouterReport.newBuilder()
                        .setNumber(++number)
                        .setConfigurationRevision(configuration)
                        .setUpstreamsRevision(upstreams)
                        .setStoreUp(storeUp);
        demanded.wants().forEach(want -> report.addDemand(demand(want)));
        demanded.running()
                .forEach(
                        (upstream, counts) ->
                                counts.forEach(
                                        (model, count) ->
                                                report.addRunning(
                                                        running(upstream, model, count))));
        demanded.suspects().forEach(id -> report.addSuspects(id.value()));
        Frame frame = Frame.newBuilder().setRouterReport(report).build();
        if (to.isPresent()) {
            send(to.get(), frame);
        } else {
            sendAll(frame);
        }
    }

    /** Tells all others what upstreams hold. */
    void tell(long fencing, Map<UpstreamId, HeldModels> held) {
        ReplicaNews.Builder news = ReplicaNews.newBuilder().setFencing(fencing);
        held.forEach((upstream, models) -> news.addUpstreams(held(upstream, models)));
        sendAll(Frame.newBuilder().setReplicaNews(news).build());
    }

    /** A router that reached the store a moment ago, if there is one. */
    Optional<VmId> withStore() {
        Instant now = control.clock().instant();
        return storeSeen.entrySet().stream()
                .filter(entry -> connected.containsKey(entry.getKey()))
                .filter(entry -> now.isBefore(entry.getValue().plus(STORE_SEEN)))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Asks a router to end this lease of ours. */
    void endLease(VmId by, long lease) {
        LeaseEnd end = LeaseEnd.newBuilder().setLease(lease).build();
        send(by, Frame.newBuilder().setLeaseEnd(end).build());
    }

    void ask(VmId from, long newerThan) {
        StoredFetch fetch = StoredFetch.newBuilder().setNewerThan(newerThan).build();
        send(from, Frame.newBuilder().setStoredFetch(fetch).build());
    }

    void sendConfiguration(VmId to, long revision, byte[] value) {
        StoredNews news =
                StoredNews.newBuilder()
                        .setRevision(revision)
                        .setConfiguration(ByteString.copyFrom(value))
                        .build();
        send(to, Frame.newBuilder().setStoredNews(news).build());
    }

    /** Asks a router which upstreams leave, beyond what is known here. */
    void askDepartures(VmId from, long newerThan) {
        DepartureFetch fetch = DepartureFetch.newBuilder().setNewerThan(newerThan).build();
        send(from, Frame.newBuilder().setDepartureFetch(fetch).build());
    }

    void sendDepartures(VmId to, List<Departure> departures) {
        Departures.Builder all = Departures.newBuilder();
        for (Departure each : departures) {
            all.addDepartures(
                    io.damaskyoke.peer.wire.Departure.newBuilder()
                            .setUpstream(each.upstream().value())
                            .setRevision(each.revision())
                            .setGone(each.gone()));
        }
        send(to, Frame.newBuilder().setDepartures(all).build());
    }

    @Override
    public void opened(PeerLink link) {
        control.run(
                () -> {
                    if (hearer != null) {
                        hearer.linked();
                    }
                });
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        Optional<VmId> from = link.remote().map(Hello::getVm).map(VmId::of);
        from.ifPresent(vm -> control.run(() -> take(vm, frame)));
    }

    private void take(VmId from, Frame frame) {
        if (hearer == null) {
            return;
        }
        if (frame.hasRouterReport()) {
            RouterReport report = frame.getRouterReport();
            noteStore(from, report.getStoreUp());
            hearer.reported(
                    demanded(from, report),
                    report.getConfigurationRevision(),
                    report.getUpstreamsRevision());
        } else if (frame.hasReplicaNews()) {
            hearer.told(from, frame.getReplicaNews().getFencing(), held(frame.getReplicaNews()));
        } else if (frame.hasLeaseEnd()) {
            hearer.leaseEnded(from, frame.getLeaseEnd().getLease());
        } else if (frame.hasStoredFetch()) {
            hearer.asked(from, frame.getStoredFetch().getNewerThan());
        } else if (frame.hasStoredNews()) {
            StoredNews news = frame.getStoredNews();
            hearer.configuration(news.getRevision(), news.getConfiguration().toByteArray());
        } else if (frame.hasDepartureFetch()) {
            hearer.askedDepartures(from, frame.getDepartureFetch().getNewerThan());
        } else if (frame.hasDepartures()) {
            hearer.departures(departures(frame.getDepartures()));
        }
    }

    private void noteStore(VmId router, boolean up) {
        if (up) {
            storeSeen.put(router, control.clock().instant());
        } else {
            storeSeen.remove(router);
        }
    }

    private void sendAll(Frame frame) {
        connected.keySet().forEach(vm -> send(vm, frame));
    }

    private void send(VmId to, Frame frame) {
        PeerAddress address = connected.get(to);
        if (address != null) {
            network.link(address).send(frame);
        }
    }

    private static ModelDemand demand(LoadInput.Want want) {
        return ModelDemand.newBuilder()
                .setModel(want.model().model())
                .setAdapter(want.model().adapter())
                .setWaiting(want.waiting())
                .setOldestMs((int) want.oldest().toMillis())
                .setUrgency(want.urgency())
                .setPerSecond(want.perSecond())
                .setInTime(want.inTime())
                .build();
    }

    private static RunningCount running(UpstreamId upstream, ModelRef model, int count) {
        return RunningCount.newBuilder()
                .setUpstream(upstream.value())
                .setModel(model.model())
                .setAdapter(model.adapter())
                .setRunning(count)
                .build();
    }

    private static io.damaskyoke.peer.wire.HeldModels held(UpstreamId upstream, HeldModels held) {
        var line =
                io.damaskyoke.peer.wire.HeldModels.newBuilder()
                        .setUpstream(upstream.value())
                        .setStartedAt(held.startedAt())
                        .setSequence(held.sequence());
        held.adapters()
                .forEach(
                        (model, adapters) ->
                                line.addModels(
                                        HeldModel.newBuilder()
                                                .setName(model)
                                                .addAllAdapters(adapters)));
        return line.build();
    }

    private static LoadInput.Demanded demanded(VmId from, RouterReport report) {
        List<LoadInput.Want> wants = new ArrayList<>();
        for (ModelDemand demand : report.getDemandList()) {
            wants.add(
                    new LoadInput.Want(
                            new ModelRef(demand.getModel(), demand.getAdapter()),
                            demand.getWaiting(),
                            Duration.ofMillis(demand.getOldestMs()),
                            demand.getUrgency(),
                            demand.getPerSecond(),
                            demand.getInTime()));
        }
        Map<UpstreamId, Map<ModelRef, Integer>> running = new TreeMap<>();
        for (RunningCount count : report.getRunningList()) {
            running.computeIfAbsent(UpstreamId.of(count.getUpstream()), any -> new TreeMap<>())
                    .put(new ModelRef(count.getModel(), count.getAdapter()), count.getRunning());
        }
        Set<UpstreamId> suspects = new HashSet<>();
        report.getSuspectsList().forEach(id -> suspects.add(UpstreamId.of(id)));
        return new LoadInput.Demanded(from, wants, running, suspects);
    }

    private static List<Departure> departures(Departures all) {
        return all.getDeparturesList().stream()
                .map(
                        each ->
                                new Departure(
                                        UpstreamId.of(each.getUpstream()),
                                        each.getRevision(),
                                        each.getGone()))
                .toList();
    }

    private static Map<UpstreamId, HeldModels> held(ReplicaNews news) {
        Map<UpstreamId, HeldModels> all = new HashMap<>();
        for (var line : news.getUpstreamsList()) {
            Map<String, Set<String>> adapters = new TreeMap<>();
            for (HeldModel model : line.getModelsList()) {
                adapters.put(model.getName(), new HashSet<>(model.getAdaptersList()));
            }
            all.put(
                    UpstreamId.of(line.getUpstream()),
                    new HeldModels(line.getStartedAt(), line.getSequence(), adapters));
        }
        return all;
    }
}
