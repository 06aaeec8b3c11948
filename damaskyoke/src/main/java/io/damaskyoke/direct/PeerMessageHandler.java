package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Dispatches the messages of peer routers to the classes that handle them, and answers requests for
 * a configuration, departures or changes in the store that a peer lacks. Control thread only.
 */
final class PeerMessageHandler implements PeerRouters.Listener {
    private final Parts parts;
    private final Runnable replicasChanged;
    private long highestFencing;

    /** The classes that messages are dispatched to. */
    record Parts(
            InstantSource clock,
            PeerRouters neighbours,
            Membership members,
            LoadCoordinator leader,
            LeaderHandOver handOver,
            CrashWatch crashes,
            LostUpstreamAnnouncer lost,
            LimitedUpstreams limits,
            DemandReporter reports,
            ConfigurationHolder configuration,
            ZoneDrains drains,
            UpstreamTable upstreams,
            UpstreamFollower upstreamFollower,
            Map<String, Follower> followed,
            StoreRelays relays) {}

    PeerMessageHandler(Parts parts, Runnable replicasChanged) {
        this.parts = parts;
        this.replicasChanged = replicasChanged;
    }

    @Override
    public void reportReceived(LoadInput.DemandReported demanded, RouterStatus standing) {
        parts.leader().demandReported(demanded);
        parts.drains().told(standing.drains());
        if (standing.configurationRevision() > parts.configuration().revision()) {
            parts.neighbours()
                    .fetchConfiguration(demanded.router(), parts.configuration().revision());
        }
        if (parts.upstreamFollower().needsTelling(standing.upstreamsRevision())) {
            parts.neighbours()
                    .fetchDepartures(demanded.router(), parts.upstreamFollower().knownUpTo());
        }
    }

    @Override
    public void departuresRequested(VmId from, long newerThan) {
        List<UpstreamDeparture> departures = parts.upstreams().departures(newerThan);
        if (!departures.isEmpty()) {
            parts.neighbours().sendDepartures(from, departures);
        }
    }

    @Override
    public void departuresReceived(List<UpstreamDeparture> departures) {
        parts.upstreamFollower().told(departures);
    }

    @Override
    public void linkOpened() {
        parts.reports().announceHeldModels();
        parts.crashes().tellAll();
    }

    @Override
    public void upstreamCrashed(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        parts.crashes().told(end, ago, ran);
    }

    @Override
    public void crashDetected(UpstreamCrash end, boolean passOn) {
        parts.crashes().toldEnd(end, passOn);
    }

    @Override
    public void upstreamLost(UpstreamId upstream, long startedAt, boolean passOn) {
        parts.lost().lossAnnounced(upstream, startedAt, passOn);
    }

    @Override
    public void upstreamLimited(LimitedUpstreams.News news, boolean passOn) {
        parts.limits().told(news, passOn);
    }

    @Override
    public void requestWatched(RequestDigest request) {
        parts.crashes().toldWatched(request);
    }

    @Override
    public void requestQuarantined(Quarantine.Entry entry) {
        parts.crashes().told(entry);
    }

    @Override
    public void requestCleared(RequestDigest request, Duration sentAgo) {
        parts.crashes().toldCleared(request, sentAgo);
    }

    @Override
    public void requestSucceededBefore(RequestDigest request, Duration ago) {
        parts.crashes().toldSucceededBefore(request, ago);
    }

    @Override
    public void requestSurvived(RequestDigest request, int times) {
        parts.crashes().toldBorne(request, times);
    }

    @Override
    public void heldModelsAnnounced(VmId from, long fencing, Map<UpstreamId, HeldModels> held) {
        if (fencing < highestFencing) {
            return;
        }
        if (fencing > highestFencing) {
            parts.members().leaderAnnounced(from);
            parts.neighbours().refresh();
            // A leader that doesn't watch the store on behalf of all routers has received no demand
            // reports before its election.
            parts.reports().reportToNewLeader();
        }
        highestFencing = fencing;
        held.forEach(
                (id, models) ->
                        parts.upstreams()
                                .find(id)
                                .ifPresent(
                                        each ->
                                                each.leaderAnnounced(
                                                        models, parts.clock().instant())));
        replicasChanged.run();
    }

    @Override
    public void unansweredLoadAnnounced(UnansweredLoadOrder load) {
        parts.leader().unansweredLoadAnnounced(load);
    }

    @Override
    public void changesRequested(
            String prefix, long after, Duration wait, Consumer<Optional<Changes>> told) {
        Follower follower = parts.followed().get(prefix);
        if (follower == null) {
            told.accept(Optional.empty());
        } else {
            follower.tell(after, wait, told);
        }
    }

    @Override
    public void changesReceived(VmId from, long number, Optional<Changes> told) {
        parts.relays().answered(from, number, told);
    }

    @Override
    public void leaseEndRequested(VmId by, long lease) {
        parts.handOver().revokeLease(by, lease);
    }

    @Override
    public void configurationRequested(VmId from, long newerThan) {
        if (parts.configuration().revision() > newerThan) {
            parts.neighbours()
                    .sendConfiguration(
                            from, parts.configuration().revision(), parts.configuration().value());
        }
    }

    @Override
    public void configurationReceived(long revision, byte[] value) {
        parts.configuration().offer(value, revision, "another router");
    }
}
