package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.direct.crashes.PoisonRequestDetector;
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
    private final Dependencies dependencies;
    private final Runnable replicasChanged;
    private long highestFencing;

    /** The classes that messages are dispatched to. */
    record Dependencies(
            InstantSource clock,
            PeerRouters peers,
            Membership members,
            LoadCoordinator coordinator,
            LeaderHandOver handOver,
            PoisonRequestDetector crashes,
            LostUpstreamAnnouncer lostUpstreams,
            DeclaredLimits limits,
            AnnouncedDepartures departures,
            DemandReporter reports,
            ConfigurationHolder configuration,
            ZoneDrains drains,
            UpstreamTable upstreams,
            UpstreamFollower upstreamFollower,
            Map<String, Follower> followers,
            StoreRelays relays) {}

    PeerMessageHandler(Dependencies dependencies, Runnable replicasChanged) {
        this.dependencies = dependencies;
        this.replicasChanged = replicasChanged;
    }

    @Override
    public void reportReceived(LoadInput.DemandReported demand, RouterStatus status) {
        dependencies.coordinator().demandReported(demand);
        dependencies.drains().merge(status.drains());
        if (status.configurationRevision() > dependencies.configuration().revision()) {
            dependencies
                    .peers()
                    .fetchConfiguration(demand.router(), dependencies.configuration().revision());
        }
        if (dependencies.upstreamFollower().needsDepartures(status.upstreamsRevision())) {
            dependencies
                    .peers()
                    .fetchDepartures(
                            demand.router(), dependencies.upstreamFollower().departuresReadUpTo());
        }
    }

    @Override
    public void departuresRequested(VmId from, long newerThan) {
        List<UpstreamDeparture> departures = dependencies.upstreams().departures(newerThan);
        if (!departures.isEmpty()) {
            dependencies.peers().sendDepartures(from, departures);
        }
    }

    @Override
    public void departuresReceived(List<UpstreamDeparture> departures) {
        dependencies.upstreamFollower().applyDepartures(departures);
    }

    @Override
    public void linkOpened() {
        dependencies.reports().announceHeldModels();
        dependencies.crashes().announceQuarantine();
    }

    @Override
    public void upstreamCrashed(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
        dependencies.crashes().countCrash(crash, ago, runs);
    }

    @Override
    public void crashDetected(UpstreamCrash crash, boolean passOn) {
        dependencies.crashes().crashReceived(crash, passOn);
    }

    @Override
    public void upstreamLost(UpstreamId upstream, long startedAt, boolean passOn) {
        dependencies.lostUpstreams().lossAnnounced(upstream, startedAt, passOn);
    }

    @Override
    public void upstreamLeaves(UpstreamId upstream, long startedAt, boolean passOn) {
        dependencies.departures().departureAnnounced(upstream, startedAt, passOn);
    }

    @Override
    public void upstreamLimited(DeclaredLimits.Announcement announcement, boolean passOn) {
        dependencies.limits().announcementReceived(announcement, passOn);
    }

    @Override
    public void suspectWatched(CrashSuspect suspect) {
        dependencies.crashes().startWatching(suspect);
    }

    @Override
    public void suspectQuarantined(Quarantine.Entry entry) {
        dependencies.crashes().quarantineReceived(entry);
    }

    @Override
    public void suspectCleared(CrashSuspect suspect, Duration sentAgo) {
        dependencies.crashes().clear(suspect, sentAgo);
    }

    @Override
    public void suspectSucceededBefore(CrashSuspect suspect, Duration ago) {
        dependencies.crashes().recordEarlierSuccess(suspect, ago);
    }

    @Override
    public void suspectSurvived(CrashSuspect suspect, int times) {
        dependencies.crashes().addSurvivedRuns(suspect, times);
    }

    @Override
    public void heldModelsAnnounced(VmId from, long fencing, Map<UpstreamId, HeldModels> held) {
        if (fencing < highestFencing) {
            return;
        }
        if (fencing > highestFencing) {
            dependencies.members().leaderAnnounced(from);
            dependencies.peers().refresh();
            // A leader that doesn't watch the store on behalf of all routers has received no demand
            // reports before its election.
            dependencies.reports().reportToNewLeader();
        }
        highestFencing = fencing;
        held.forEach(
                (id, models) ->
                        dependencies
                                .upstreams()
                                .find(id)
                                .ifPresent(
                                        each ->
                                                each.leaderAnnounced(
                                                        models, dependencies.clock().instant())));
        replicasChanged.run();
    }

    @Override
    public void unansweredLoadAnnounced(UnansweredLoadOrder load) {
        dependencies.coordinator().unansweredLoadAnnounced(load);
    }

    @Override
    public void changesRequested(
            String prefix, long after, Duration wait, Consumer<Optional<Changes>> answer) {
        Follower follower = dependencies.followers().get(prefix);
        if (follower == null) {
            answer.accept(Optional.empty());
        } else {
            follower.answerPoll(after, wait, answer);
        }
    }

    @Override
    public void changesReceived(VmId from, long number, Optional<Changes> changes) {
        dependencies.relays().answered(from, number, changes);
    }

    @Override
    public void leaseEndRequested(VmId from, long lease) {
        dependencies.handOver().revokeLease(from, lease);
    }

    @Override
    public void configurationRequested(VmId from, long newerThan) {
        if (dependencies.configuration().revision() > newerThan) {
            dependencies
                    .peers()
                    .sendConfiguration(
                            from,
                            dependencies.configuration().revision(),
                            dependencies.configuration().storedBytes());
        }
    }

    @Override
    public void configurationReceived(long revision, byte[] value) {
        dependencies.configuration().replaceIfNewer(value, revision, "another router");
    }
}
