package io.damaskyoke.direct;

import com.google.protobuf.ByteString;
import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.peer.wire.ChangesFetch;
import io.damaskyoke.peer.wire.DepartureFetch;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.damaskyoke.peer.wire.LeaseEnd;
import io.damaskyoke.peer.wire.LostUpstream;
import io.damaskyoke.peer.wire.RouterReport;
import io.damaskyoke.peer.wire.StoreChanges;
import io.damaskyoke.peer.wire.StoredFetch;
import io.damaskyoke.peer.wire.StoredNews;
import io.damaskyoke.peer.wire.SuspectRequest;
import io.damaskyoke.peer.wire.UpstreamEnded;
import io.damaskyoke.peer.wire.UpstreamLimit;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/** What direct routers tell each other, as frames. Its methods belong to the control thread. */
final class Neighbours
        implements PeerListener, LeaderNews, LostUpstreams.Wire, DeclaredLimits.Announcer {
    /** Routers report to the leader every 0.6 s at least. */
    private static final Duration STORE_SEEN = Duration.ofMillis(1_200);

    /** Each router reports once a second at least. */
    private static final Duration LATE_SEEN = Duration.ofMillis(2_500);

    private final ControlThread control;
    private final Membership members;
    private final Map<VmId, PeerAddress> addresses = new HashMap<>();
    private final Map<VmId, PeerLink> links = new HashMap<>();
    private final Map<VmId, Instant> storeSeen = new TreeMap<>();
    private final Map<VmId, Late> late = new HashMap<>();
    private PeerNetwork network;
    private Listener listener;
    private long number;

    /** How late a router's thread is, as it said then. */
    private record Late(Duration by, Instant at) {}

    /** Listens to what other routers say. */
    interface Listener {
        /** A link to another router has opened; what was sent before did not go over it. */
        void linked();

        /** A router's needs, and what it knows. */
        void reported(LoadInput.DemandReported demanded, RouterStanding standing);

        /** A router wants to know what has changed in the store; the answer goes to the sink. */
        void askedChanges(
                String prefix, long after, Duration wait, Consumer<Optional<Changes>> told);

        /** A router answers what it was asked under this number. */
        void changes(VmId from, long number, Optional<Changes> told);

        /** What upstreams hold, by the leader with this fencing token. */
        void told(VmId leader, long fencing, Map<UpstreamId, HeldModels> held);

        /** A leader had no answer to an order. */
        void unanswered(UnansweredLoadOrder load);

        /** An upstream ended so long ago, and these had run there for so long. */
        void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran);

        /** A router has found out that an upstream has ended; others are to be told or are. */
        void found(UpstreamCrash end, boolean passOn);

        /** A router holds that one more end under the request would be enough. */
        void watched(RequestDigest request);

        /** A router keeps the request out. */
        void keptOut(Quarantine.Entry entry);

        /** A router has just seen the request, sent so long ago, answered with a success. */
        void cleared(RequestDigest request, Duration sentAgo);

        /** A router saw the request answered with a success so long ago. */
        void succeededBefore(RequestDigest request, Duration ago);

        /** A router has seen upstreams take the request so often and not end. */
        void borne(RequestDigest request, int times);

        /** A router can't reach an upstream in this life; all others are to be told or are. */
        void lost(UpstreamId upstream, long startedAt, boolean passOn);

        /** An upstream says how many requests it takes; all others are to be told or are. */
        void limited(DeclaredLimits.Announcement news, boolean passOn);

        /** A router gave the orders under this lease and can't tell the store that it stopped. */
        void leaseEnded(VmId by, long lease);

        /** A router has an older configuration and asks for ours. */
        void asked(VmId from, long newerThan);

        /** A router has sent its configuration. */
        void configuration(long revision, byte[] value);

        /** A router that the store doesn't tell asks which upstreams leave. */
        void askedDepartures(VmId from, long newerThan);

        /** A router says which upstreams leave. */
        void departures(List<UpstreamDeparture> departures);
    }

    Neighbours(ControlThread control, Membership members) {
        this.control = control;
        this.members = members;
    }

    void start(PeerNetwork given, Listener hears) {
        network = given;
        listener = hears;
    }

    /**
     * Connects to the routers that this one speaks to by itself, and forgets those that are gone:
     * in a large fleet those that follow the store for all, and the one that gives the orders. Who
     * else has something to say connects to this one.
     */
    void refresh() {
        Map<VmId, PeerAddress> now = new HashMap<>();
        members.others().forEach(each -> now.put(each.vm(), each.address()));
        addresses
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean gone = !entry.getValue().equals(now.get(entry.getKey()));
                            if (gone) {
                                network.forget(entry.getValue());
                            }
                            return gone;
                        });
        links.values().removeIf(link -> !link.open());
        addresses.putAll(now);
        addresses.forEach(
                (vm, address) -> {
                    if (speaksTo(vm)) {
                        network.link(address);
                    }
                });
    }

    private boolean speaksTo(VmId vm) {
        boolean leads = members.leader().filter(vm::equals).isPresent();
        return leads || members.plan().watches(vm);
    }

    /** Says what this router needs to one other, or to those that follow the store for all. */
    void report(Optional<VmId> to, LoadInput.DemandReported demanded, RouterStanding standing) {
        Frame frame =
                NeighbourFrames.report(++number, demanded, standing, control.clock().instant());
        if (to.isPresent()) {
            send(to.get(), frame);
        } else {
            sendToWatchers(frame);
        }
    }

    /** Asks a router for changes in the store; false if there is no link to it now. */
    boolean askChanges(VmId relay, long asked, String prefix, long after, Duration wait) {
        return send(relay, NeighbourFrames.changesFetch(asked, prefix, after, wait));
    }

    /** The quickest of the routers that reported a moment ago, by how late its thread is. */
    Optional<Duration> leastLate() {
        Instant now = control.clock().instant();
        return late.values().stream()
                .filter(each -> now.isBefore(each.at().plus(LATE_SEEN)))
                .map(Late::by)
                .min(Comparator.naturalOrder());
    }

    @Override
    public void tell(long fencing, Map<UpstreamId, HeldModels> held) {
        sendAll(NeighbourFrames.news(fencing, held));
    }

    @Override
    public void tellOpen(UnansweredLoadOrder load) {
        sendAll(NeighbourFrames.open(load, control.clock().instant()));
    }

    /** Tells the other routers of requests under which upstreams end. */
    CrashAnnouncer crashNews() {
        return new PeerCrashAnnouncer(
                control.clock(),
                new PeerCrashAnnouncer.FrameSender() {
                    @Override
                    public void sendToAll(Frame frame) {
                        sendAll(frame);
                    }

                    @Override
                    public void sendToWatchers(Frame frame) {
                        sendToWatchers(frame);
                    }

                    @Override
                    public void sendThroughWatchers(Function<Boolean, Frame> frame) {
                        tellThroughWatchers(frame);
                    }

                    @Override
                    public boolean isWatcher() {
                        return members.watches();
                    }
                });
    }

    @Override
    public void tellLost(UpstreamId upstream, long startedAt) {
        tellThroughWatchers(passOn -> NeighbourFrames.lost(upstream, startedAt, passOn));
    }

    @Override
    public void passLostOn(UpstreamId upstream, long startedAt) {
        if (members.watches()) {
            sendAll(NeighbourFrames.lost(upstream, startedAt, false));
        }
    }

    @Override
    public void announceLimit(DeclaredLimits.Announcement news) {
        tellThroughWatchers(passOn -> NeighbourFrames.limit(news, passOn));
    }

    @Override
    public void forwardLimit(DeclaredLimits.Announcement news) {
        if (members.watches()) {
            sendAll(NeighbourFrames.limit(news, false));
        }
    }

    /** A router that reached the store a moment ago, if there is one. */
    Optional<VmId> withStore() {
        Instant now = control.clock().instant();
        return storeSeen.entrySet().stream()
                .filter(entry -> addresses.containsKey(entry.getKey()))
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

    void sendDepartures(VmId to, List<UpstreamDeparture> departures) {
        send(to, NeighbourFrames.departures(departures));
    }

    @Override
    public void opened(PeerLink link) {
        control.run(
                () -> {
                    link.remote()
                            .map(Hello::getVm)
                            .map(VmId::of)
                            .ifPresent(vm -> links.put(vm, link));
                    if (listener != null) {
                        listener.linked();
                    }
                });
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        Optional<VmId> from = link.remote().map(Hello::getVm).map(VmId::of);
        from.ifPresent(vm -> control.run(() -> take(vm, link, frame)));
    }

    private void take(VmId from, PeerLink link, Frame frame) {
        if (listener == null) {
            return;
        }
        if (frame.hasRouterReport()) {
            RouterReport report = frame.getRouterReport();
            Instant now = control.clock().instant();
            RouterStanding standing = NeighbourFrames.standing(report, now);
            noteStore(from, standing.storeUp());
            late.put(from, new Late(standing.late(), now));
            listener.reported(NeighbourFrames.demanded(from, report), standing);
        } else if (frame.hasReplicaNews()) {
            listener.told(
                    from,
                    frame.getReplicaNews().getFencing(),
                    NeighbourFrames.held(frame.getReplicaNews()));
        } else if (frame.hasUnansweredLoad()) {
            Instant now = control.clock().instant();
            listener.unanswered(NeighbourFrames.open(frame.getUnansweredLoad(), now));
        } else if (frame.hasSuspectRequest()) {
            takeSuspect(frame.getSuspectRequest());
        } else if (frame.hasLeaseEnd()) {
            listener.leaseEnded(from, frame.getLeaseEnd().getLease());
        } else if (frame.hasStoredFetch()) {
            listener.asked(from, frame.getStoredFetch().getNewerThan());
        } else if (frame.hasStoredNews()) {
            StoredNews news = frame.getStoredNews();
            listener.configuration(news.getRevision(), news.getConfiguration().toByteArray());
        } else if (frame.hasDepartureFetch()) {
            listener.askedDepartures(from, frame.getDepartureFetch().getNewerThan());
        } else if (frame.hasChangesFetch()) {
            ChangesFetch fetch = frame.getChangesFetch();
            listener.askedChanges(
                    fetch.getPrefix(),
                    fetch.getAfter(),
                    Duration.ofMillis(fetch.getWaitMs()),
                    told -> link.send(NeighbourFrames.changes(fetch.getNumber(), told)));
        } else if (frame.hasStoreChanges()) {
            StoreChanges answer = frame.getStoreChanges();
            listener.changes(from, answer.getNumber(), NeighbourFrames.changes(answer));
        } else if (frame.hasDepartures()) {
            listener.departures(NeighbourFrames.departures(frame.getDepartures()));
        } else {
            takeUpstream(frame);
        }
    }

    private void takeUpstream(Frame frame) {
        if (frame.hasUpstreamEnded()) {
            UpstreamEnded ended = frame.getUpstreamEnded();
            listener.ended(
                    NeighbourFrames.end(ended),
                    Duration.ofMillis(ended.getEndedMsAgo()),
                    NeighbourFrames.ran(ended));
        } else if (frame.hasLostUpstream()) {
            takeLost(frame.getLostUpstream());
        } else if (frame.hasUpstreamLimit()) {
            UpstreamLimit limit = frame.getUpstreamLimit();
            listener.limited(NeighbourFrames.limit(limit), limit.getPassOn());
        }
    }

    private void takeLost(LostUpstream lost) {
        UpstreamId upstream = UpstreamId.of(lost.getUpstream());
        if (lost.getEnded()) {
            listener.found(new UpstreamCrash(upstream, lost.getStartedAt()), lost.getPassOn());
        } else {
            listener.lost(upstream, lost.getStartedAt(), lost.getPassOn());
        }
    }

    private void takeSuspect(SuspectRequest line) {
        RequestDigest request = new RequestDigest(line.getRequest());
        switch (line.getState()) {
            case WATCHED -> listener.watched(request);
            case CLEARED -> listener.cleared(request, Duration.ofMillis(line.getSentMsAgo()));
            case SUCCEEDED ->
                    listener.succeededBefore(request, Duration.ofMillis(line.getAnsweredMsAgo()));
            case BORNE -> listener.borne(request, Math.max(1, line.getTimes()));
            case KEPT_OUT ->
                    listener.keptOut(NeighbourFrames.keptOut(line, control.clock().instant()));
            default -> {
                // A state of a newer version, which this one can't act by.
            }
        }
    }

    private void noteStore(VmId router, boolean up) {
        if (up) {
            storeSeen.put(router, control.clock().instant());
        } else {
            storeSeen.remove(router);
        }
    }

    // In a large fleet only those that follow the store for all have a link to every other router.
    private void tellThroughWatchers(Function<Boolean, Frame> frame) {
        if (members.watches()) {
            sendAll(frame.apply(false));
        } else {
            sendToWatchers(frame.apply(true));
        }
    }

    private void sendToWatchers(Frame frame) {
        members.plan().watchers().forEach(vm -> send(vm, frame));
    }

    private void sendAll(Frame frame) {
        addresses.keySet().forEach(vm -> send(vm, frame));
    }

    // Over the link that the other has opened, if it has; two links for a pair would double their
    // heartbeats.
    private boolean send(VmId to, Frame frame) {
        PeerLink link = links.get(to);
        if (link != null && link.open()) {
            return link.send(frame);
        }
        PeerAddress address = addresses.get(to);
        return address != null && network.link(address).send(frame);
    }
}
