package io.damaskyoke.direct;

import com.google.protobuf.ByteString;
import io.damaskyoke.control.Control;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.Departure;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.wire.DepartureFetch;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.peer.wire.LeaseEnd;
import io.damaskyoke.peer.wire.RouterReport;
import io.damaskyoke.peer.wire.StoredFetch;
import io.damaskyoke.peer.wire.StoredNews;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
        Frame frame = NeighbourFrames.report(++number, demanded, configuration, upstreams, storeUp);
        if (to.isPresent()) {
            send(to.get(), frame);
        } else {
            sendAll(frame);
        }
    }

    /** Tells all others what upstreams hold. */
    void tell(long fencing, Map<UpstreamId, HeldModels> held) {
        sendAll(NeighbourFrames.news(fencing, held));
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
        send(to, NeighbourFrames.departures(departures));
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
                    NeighbourFrames.demanded(from, report),
                    report.getConfigurationRevision(),
                    report.getUpstreamsRevision());
        } else if (frame.hasReplicaNews()) {
            hearer.told(
                    from,
                    frame.getReplicaNews().getFencing(),
                    NeighbourFrames.held(frame.getReplicaNews()));
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
            hearer.departures(NeighbourFrames.departures(frame.getDepartures()));
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
}
