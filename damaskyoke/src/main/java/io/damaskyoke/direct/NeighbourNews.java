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

/** Takes in what other routers say, and gives them what they lack. Control thread only. */
final class NeighbourNews implements Neighbours.Listener {
    private final Parts parts;
    private final Runnable replicasChanged;
    private long highestFencing;

    /** What news is for. */
    record Parts(
            InstantSource clock,
            Neighbours neighbours,
            Membership members,
            OrderLeader leader,
            OrderHandOver handOver,
            PoisonRequestDetector crashes,
            LostUpstreams lost,
            DeclaredLimits limits,
            DemandReports reports,
            ConfigurationHolder configuration,
            ZoneDrains drains,
            UpstreamTable upstreams,
            UpstreamFollower upstreamFollower,
            Map<String, Follower> followed,
            StoreRelays relays) {}

    NeighbourNews(Parts parts, Runnable replicasChanged) {
        this.parts = parts;
        this.replicasChanged = replicasChanged;
    }

    @Override
    public void reported(LoadInput.DemandReported demanded, RouterStanding standing) {
        parts.leader().demanded(demanded);
        parts.drains().told(standing.drains());
        if (standing.configuration() > parts.configuration().revision()) {
            parts.neighbours().ask(demanded.router(), parts.configuration().revision());
        }
        if (parts.upstreamFollower().needsDepartures(standing.upstreams())) {
            parts.neighbours()
                    .askDepartures(
                            demanded.router(), parts.upstreamFollower().departuresReadUpTo());
        }
    }

    @Override
    public void askedDepartures(VmId from, long newerThan) {
        List<UpstreamDeparture> departures = parts.upstreams().departures(newerThan);
        if (!departures.isEmpty()) {
            parts.neighbours().sendDepartures(from, departures);
        }
    }

    @Override
    public void departures(List<UpstreamDeparture> departures) {
        parts.upstreamFollower().applyDepartures(departures);
    }

    @Override
    public void linked() {
        parts.reports().tellAll();
        parts.crashes().announceQuarantine();
    }

    @Override
    public void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        parts.crashes().countCrash(end, ago, ran);
    }

    @Override
    public void found(UpstreamCrash end, boolean passOn) {
        parts.crashes().crashReceived(end, passOn);
    }

    @Override
    public void lost(UpstreamId upstream, long startedAt, boolean passOn) {
        parts.lost().told(upstream, startedAt, passOn);
    }

    @Override
    public void limited(DeclaredLimits.Announcement news, boolean passOn) {
        parts.limits().announcementReceived(news, passOn);
    }

    @Override
    public void watched(RequestDigest request) {
        parts.crashes().startWatching(request);
    }

    @Override
    public void keptOut(Quarantine.Entry entry) {
        parts.crashes().quarantineReceived(entry);
    }

    @Override
    public void cleared(RequestDigest request, Duration sentAgo) {
        parts.crashes().clearRequest(request, sentAgo);
    }

    @Override
    public void succeededBefore(RequestDigest request, Duration ago) {
        parts.crashes().recordEarlierSuccess(request, ago);
    }

    @Override
    public void borne(RequestDigest request, int times) {
        parts.crashes().addSurvivedRuns(request, times);
    }

    @Override
    public void told(VmId from, long fencing, Map<UpstreamId, HeldModels> held) {
        if (fencing < highestFencing) {
            return;
        }
        if (fencing > highestFencing) {
            parts.members().announced(from);
            parts.neighbours().refresh();
            // A new leader that doesn't follow the store for all knows nothing of what is needed.
            parts.reports().reportAnew();
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
    public void unanswered(UnansweredLoadOrder load) {
        parts.leader().unanswered(load);
    }

    @Override
    public void askedChanges(
            String prefix, long after, Duration wait, Consumer<Optional<Changes>> told) {
        Follower follower = parts.followed().get(prefix);
        if (follower == null) {
            told.accept(Optional.empty());
        } else {
            follower.tell(after, wait, told);
        }
    }

    @Override
    public void changes(VmId from, long number, Optional<Changes> told) {
        parts.relays().answered(from, number, told);
    }

    @Override
    public void leaseEnded(VmId by, long lease) {
        parts.handOver().ended(by, lease);
    }

    @Override
    public void asked(VmId from, long newerThan) {
        if (parts.configuration().revision() > newerThan) {
            parts.neighbours()
                    .sendConfiguration(
                            from, parts.configuration().revision(), parts.configuration().value());
        }
    }

    @Override
    public void configuration(long revision, byte[] value) {
        parts.configuration().offer(value, revision, "another router");
    }
}
