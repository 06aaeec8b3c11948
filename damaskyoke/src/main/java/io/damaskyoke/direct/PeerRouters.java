package io.damaskyoke.direct;

import com.google.protobuf.ByteString;
import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.direct.crashes.CrashAnnouncer;
import io.damaskyoke.direct.crashes.CrashFrames;
import io.damaskyoke.direct.crashes.PeerCrashAnnouncer;
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
import io.damaskyoke.peer.wire.UpstreamLeaving;
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
import java.util.function.Predicate;

/**
 * Sends messages to the other direct routers, and passes those received to a {@link Listener}.
 * Control thread only, apart from the callbacks of {@link PeerListener}.
 */
final class PeerRouters
        implements PeerListener,
                LeaderAnnouncements,
                LostUpstreamAnnouncer.Transport,
                AnnouncedDepartures.Transport,
                DeclaredLimits.Announcer {
    /** Twice the interval of at most 0.6 s at which routers report to the leader. */
    private static final Duration STORE_STATUS_VALIDITY = Duration.ofMillis(1_200);

    /** Longer than two reports are apart: each router reports at least once a second. */
    private static final Duration LAG_VALIDITY = Duration.ofMillis(2_500);

    private final ControlThread control;
    private final Membership members;
    private final Map<VmId, PeerAddress> addresses = new HashMap<>();
    private final Map<VmId, PeerLink> links = new HashMap<>();
    private final Map<VmId, Instant> storeSeenAt = new TreeMap<>();
    private final Map<VmId, ReportedLag> reportedLags = new HashMap<>();
    private PeerNetwork network;
    private Listener listener;
    private long lastReportNumber;

    /** The lag of a router's control thread, as reported at a time. */
    private record ReportedLag(Duration lag, Instant reportedAt) {}

    /** Receives the messages of other routers. */
    interface Listener {
        /** A link to another router has opened; earlier messages were not sent over it. */
        void linkOpened();

        /** A router reported its demand for models, and the revisions that it knows. */
        void reportReceived(LoadInput.DemandReported demand, RouterStatus status);

        /**
         * A router fetches changes in the store; {@code answer} takes the answer, empty to refuse.
         */
        void changesRequested(
                String prefix, long after, Duration wait, Consumer<Optional<Changes>> answer);

        /** A router answered the fetch of changes that has this number. */
        void changesReceived(VmId from, long fetchNumber, Optional<Changes> changes);

        /** The leader with this fencing token announced the models that upstreams hold. */
        void heldModelsAnnounced(VmId leader, long fencing, Map<UpstreamId, HeldModels> held);

        /** A leader announced a load order that was not answered. */
        void unansweredLoadAnnounced(UnansweredLoadOrder load);

        /** An upstream crashed {@code ago} with these runs of the sending router. */
        void upstreamCrashed(UpstreamCrash crash, Duration ago, List<CrashedRun> runs);

        /**
         * A router detected that an upstream crashed; {@code passOn} if this router is to pass the
         * announcement on to all others.
         */
        void crashDetected(UpstreamCrash crash, boolean passOn);

        /** By a router's count, one more crash quarantines the suspect. */
        void suspectWatched(CrashSuspect suspect);

        /** A router quarantined the suspect. */
        void suspectQuarantined(Quarantine.Entry entry);

        /** A request of the suspect, sent {@code sentAgo}, succeeded just now at a router. */
        void suspectCleared(CrashSuspect suspect, Duration sentAgo);

        /** A request of the suspect succeeded {@code ago} at a router. */
        void suspectSucceededBefore(CrashSuspect suspect, Duration ago);

        /** Upstreams of a router survived {@code times} runs of the suspect. */
        void suspectSurvived(CrashSuspect suspect, int times);

        /**
         * A router can't reach the incarnation of an upstream that started at {@code startedAt};
         * {@code passOn} if this router is to pass the announcement on to all others.
         */
        void upstreamLost(UpstreamId upstream, long startedAt, boolean passOn);

        /**
         * The incarnation of an upstream that started at {@code startedAt} said to a router that it
         * leaves; {@code passOn} if this router is to pass the announcement on to all others.
         */
        void upstreamLeaves(UpstreamId upstream, long startedAt, boolean passOn);

        /**
         * An upstream declared its request limit; {@code passOn} if this router is to pass the
         * announcement on to all others.
         */
        void upstreamLimited(DeclaredLimits.Announcement announcement, boolean passOn);

        /** A router that was the leader under this lease resigned and can't reach the store. */
        void leaseEndRequested(VmId from, long lease);

        /** A router fetches the configuration if its revision is above {@code newerThan}. */
        void configurationRequested(VmId from, long newerThan);

        /** A router sent its configuration. */
        void configurationReceived(long revision, byte[] value);

        /** A router fetches the upstream departures with a revision above {@code newerThan}. */
        void departuresRequested(VmId from, long newerThan);

        /** A router sent upstream departures. */
        void departuresReceived(List<UpstreamDeparture> departures);
    }

    PeerRouters(ControlThread control, Membership members) {
        this.control = control;
        this.members = members;
    }

    void start(PeerNetwork network, Listener listener) {
        this.network = network;
        this.listener = listener;
    }

    /**
     * Opens links to the routers that this one sends to unasked, and forgets routers that are no
     * longer listed. In a large fleet, links are opened only to the leader and to the routers that
     * watch the store on behalf of all; any other router opens the link if it has to send.
     */
    void refresh() {
        Map<VmId, PeerAddress> current = new HashMap<>();
        members.others().forEach(each -> current.put(each.vm(), each.address()));
        addresses
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean removed = !entry.getValue().equals(current.get(entry.getKey()));
                            if (removed) {
                                network.forget(entry.getValue());
                            }
                            return removed;
                        });
        links.values().removeIf(link -> !link.open());
        addresses.putAll(current);
        addresses.forEach(
                (vm, address) -> {
                    if (opensLinkTo(vm)) {
                        network.link(address);
                    }
                });
    }

    private boolean opensLinkTo(VmId vm) {
        boolean isLeader = members.leader().filter(vm::equals).isPresent();
        return isLeader || members.plan().watches(vm);
    }

    /**
     * Sends this router's report to one router, or to all that watch the store if none is given.
     */
    void report(Optional<VmId> to, LoadInput.DemandReported demand, RouterStatus status) {
        Frame frame =
                PeerRouterFrames.report(
                        ++lastReportNumber, demand, status, control.clock().instant());
        if (to.isPresent()) {
            send(to.get(), frame);
        } else {
            sendToWatchers(frame);
        }
    }

    /** Fetches changes in the store from a router; returns false if there is no link to it. */
    boolean fetchChanges(VmId relay, long fetchNumber, String prefix, long after, Duration wait) {
        return send(relay, PeerRouterFrames.changesFetch(fetchNumber, prefix, after, wait));
    }

    /** Returns the smallest lag of a control thread that one of these routers reported recently. */
    Optional<Duration> lowestReportedLag(Predicate<VmId> routers) {
        Instant now = control.clock().instant();
        return reportedLags.entrySet().stream()
                .filter(each -> routers.test(each.getKey()))
                .filter(each -> now.isBefore(each.getValue().reportedAt().plus(LAG_VALIDITY)))
                .map(each -> each.getValue().lag())
                .min(Comparator.naturalOrder());
    }

    @Override
    public void announceHeldModels(long fencing, Map<UpstreamId, HeldModels> held) {
        sendAll(PeerRouterFrames.replicaNews(fencing, held));
    }

    @Override
    public void announceUnansweredLoad(UnansweredLoadOrder load) {
        sendAll(PeerRouterFrames.unansweredLoad(load, control.clock().instant()));
    }

    /** Returns the sender of announcements about requests that crash upstreams. */
    CrashAnnouncer crashAnnouncer() {
        return new PeerCrashAnnouncer(
                control.clock(),
                new PeerCrashAnnouncer.FrameSender() {
                    @Override
                    public void sendToAll(Frame frame) {
                        sendAll(frame);
                    }

                    @Override
                    public void sendToWatchers(Frame frame) {
                        PeerRouters.this.sendToWatchers(frame);
                    }

                    @Override
                    public void sendThroughWatchers(Function<Boolean, Frame> frame) {
                        announceThroughWatchers(frame);
                    }

                    @Override
                    public boolean isWatcher() {
                        return members.watchesStore();
                    }
                });
    }

    @Override
    public void announceLost(UpstreamId upstream, long startedAt) {
        announceThroughWatchers(passOn -> PeerRouterFrames.lost(upstream, startedAt, passOn));
    }

    @Override
    public void forwardLost(UpstreamId upstream, long startedAt) {
        if (members.watchesStore()) {
            sendAll(PeerRouterFrames.lost(upstream, startedAt, false));
        }
    }

    @Override
    public void announceLeaving(UpstreamId upstream, long startedAt) {
        announceThroughWatchers(passOn -> PeerRouterFrames.leaving(upstream, startedAt, passOn));
    }

    @Override
    public void forwardLeaving(UpstreamId upstream, long startedAt) {
        if (members.watchesStore()) {
            sendAll(PeerRouterFrames.leaving(upstream, startedAt, false));
        }
    }

    @Override
    public void announceLimit(DeclaredLimits.Announcement announcement) {
        announceThroughWatchers(passOn -> PeerRouterFrames.limit(announcement, passOn));
    }

    @Override
    public void forwardLimit(DeclaredLimits.Announcement announcement) {
        if (members.watchesStore()) {
            sendAll(PeerRouterFrames.limit(announcement, false));
        }
    }

    /** Returns a router that reached the store recently, if there is one. */
    Optional<VmId> findRouterWithStore() {
        Instant now = control.clock().instant();
        return storeSeenAt.entrySet().stream()
                .filter(entry -> addresses.containsKey(entry.getKey()))
                .filter(entry -> now.isBefore(entry.getValue().plus(STORE_STATUS_VALIDITY)))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Asks a router to revoke a lease of this router in the store. */
    void requestLeaseEnd(VmId router, long lease) {
        LeaseEnd end = LeaseEnd.newBuilder().setLease(lease).build();
        send(router, Frame.newBuilder().setLeaseEnd(end).build());
    }

    void fetchConfiguration(VmId from, long newerThan) {
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
    void fetchDepartures(VmId from, long newerThan) {
        DepartureFetch fetch = DepartureFetch.newBuilder().setNewerThan(newerThan).build();
        send(from, Frame.newBuilder().setDepartureFetch(fetch).build());
    }

    void sendDepartures(VmId to, List<UpstreamDeparture> departures) {
        send(to, PeerRouterFrames.departures(departures));
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
                        listener.linkOpened();
                    }
                });
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        Optional<VmId> from = link.remote().map(Hello::getVm).map(VmId::of);
        from.ifPresent(vm -> control.run(() -> handle(vm, link, frame)));
    }

    private void handle(VmId from, PeerLink link, Frame frame) {
        if (listener == null) {
            return;
        }
        if (frame.hasRouterReport()) {
            RouterReport report = frame.getRouterReport();
            Instant now = control.clock().instant();
            RouterStatus status = PeerRouterFrames.status(report, now);
            recordStoreStatus(from, status.storeUp());
            reportedLags.put(from, new ReportedLag(status.lag(), now));
            listener.reportReceived(PeerRouterFrames.demandReported(from, report), status);
        } else if (frame.hasReplicaNews()) {
            listener.heldModelsAnnounced(
                    from,
                    frame.getReplicaNews().getFencing(),
                    PeerRouterFrames.heldModels(frame.getReplicaNews()));
        } else if (frame.hasUnansweredLoad()) {
            Instant now = control.clock().instant();
            listener.unansweredLoadAnnounced(
                    PeerRouterFrames.unansweredLoad(frame.getUnansweredLoad(), now));
        } else if (frame.hasSuspectRequest()) {
            SuspectRequest line = frame.getSuspectRequest();
            handleSuspect(CrashSuspect.request(line.getRequest()), line);
        } else if (frame.hasSuspectPart()) {
            SuspectRequest line = frame.getSuspectPart();
            handleSuspect(CrashSuspect.promptPart(line.getRequest()), line);
        } else if (frame.hasLeaseEnd()) {
            listener.leaseEndRequested(from, frame.getLeaseEnd().getLease());
        } else if (frame.hasStoredFetch()) {
            listener.configurationRequested(from, frame.getStoredFetch().getNewerThan());
        } else if (frame.hasStoredNews()) {
            StoredNews news = frame.getStoredNews();
            listener.configurationReceived(
                    news.getRevision(), news.getConfiguration().toByteArray());
        } else if (frame.hasDepartureFetch()) {
            listener.departuresRequested(from, frame.getDepartureFetch().getNewerThan());
        } else if (frame.hasChangesFetch()) {
            ChangesFetch fetch = frame.getChangesFetch();
            listener.changesRequested(
                    fetch.getPrefix(),
                    fetch.getAfter(),
                    Duration.ofMillis(fetch.getWaitMs()),
                    answer -> answerFetch(link, fetch.getNumber(), answer));
        } else if (frame.hasStoreChanges()) {
            StoreChanges answer = frame.getStoreChanges();
            listener.changesReceived(from, answer.getNumber(), PeerRouterFrames.changes(answer));
        } else if (frame.hasDepartures()) {
            listener.departuresReceived(PeerRouterFrames.departures(frame.getDepartures()));
        } else {
            handleUpstreamFrame(frame);
        }
    }

    // The other router would wait for an answer that no frame holds; refused, it asks the store.
    static void answerFetch(PeerLink link, long fetchNumber, Optional<Changes> changes) {
        if (!link.send(PeerRouterFrames.changes(fetchNumber, changes))) {
            link.send(PeerRouterFrames.changes(fetchNumber, Optional.empty()));
        }
    }

    private void handleUpstreamFrame(Frame frame) {
        if (frame.hasUpstreamEnded()) {
            UpstreamEnded ended = frame.getUpstreamEnded();
            listener.upstreamCrashed(
                    CrashFrames.crash(ended),
                    Duration.ofMillis(ended.getEndedMsAgo()),
                    CrashFrames.crashedRuns(ended));
        } else if (frame.hasLostUpstream()) {
            handleLostUpstream(frame.getLostUpstream());
        } else if (frame.hasUpstreamLeaving()) {
            UpstreamLeaving leaving = frame.getUpstreamLeaving();
            listener.upstreamLeaves(
                    UpstreamId.of(leaving.getUpstream()),
                    leaving.getStartedAt(),
                    leaving.getPassOn());
        } else if (frame.hasUpstreamLimit()) {
            UpstreamLimit limit = frame.getUpstreamLimit();
            listener.upstreamLimited(PeerRouterFrames.limit(limit), limit.getPassOn());
        }
    }

    private void handleLostUpstream(LostUpstream lost) {
        UpstreamId upstream = UpstreamId.of(lost.getUpstream());
        if (lost.getEnded()) {
            listener.crashDetected(
                    new UpstreamCrash(upstream, lost.getStartedAt()), lost.getPassOn());
        } else {
            listener.upstreamLost(upstream, lost.getStartedAt(), lost.getPassOn());
        }
    }

    private void handleSuspect(CrashSuspect suspect, SuspectRequest line) {
        switch (line.getState()) {
            case WATCHED -> listener.suspectWatched(suspect);
            case CLEARED ->
                    listener.suspectCleared(suspect, Duration.ofMillis(line.getSentMsAgo()));
            case SUCCEEDED ->
                    listener.suspectSucceededBefore(
                            suspect, Duration.ofMillis(line.getAnsweredMsAgo()));
            case BORNE -> listener.suspectSurvived(suspect, Math.max(1, line.getTimes()));
            case KEPT_OUT ->
                    listener.suspectQuarantined(
                            CrashFrames.quarantined(suspect, line, control.clock().instant()));
            default -> {
                // A newer version may send states that this one doesn't know; they are ignored.
            }
        }
    }

    private void recordStoreStatus(VmId router, boolean up) {
        if (up) {
            storeSeenAt.put(router, control.clock().instant());
        } else {
            storeSeenAt.remove(router);
        }
    }

    // In a large fleet, only the routers that watch the store on behalf of all have a link to every
    // other router.
    private void announceThroughWatchers(Function<Boolean, Frame> frame) {
        if (members.watchesStore()) {
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

    // Uses the link that the other router opened, if there is one: two links between the same
    // routers would double the heartbeats.
    private boolean send(VmId to, Frame frame) {
        PeerLink link = links.get(to);
        if (link != null && link.open()) {
            return link.send(frame);
        }
        PeerAddress address = addresses.get(to);
        return address != null && network.link(address).send(frame);
    }
}
