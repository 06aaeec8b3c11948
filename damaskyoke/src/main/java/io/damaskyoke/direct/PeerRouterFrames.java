package io.damaskyoke.direct;

import com.google.protobuf.ByteString;
import io.damaskyoke.control.cold.RequestLimit;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.wire.ChangesFetch;
import io.damaskyoke.peer.wire.Departures;
import io.damaskyoke.peer.wire.DrainedZone;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.HeldModel;
import io.damaskyoke.peer.wire.LostUpstream;
import io.damaskyoke.peer.wire.ModelDemand;
import io.damaskyoke.peer.wire.ReplicaNews;
import io.damaskyoke.peer.wire.RouterReport;
import io.damaskyoke.peer.wire.RunningCount;
import io.damaskyoke.peer.wire.StoreChange;
import io.damaskyoke.peer.wire.StoreChanges;
import io.damaskyoke.peer.wire.UnansweredLoad;
import io.damaskyoke.peer.wire.UpstreamLeaving;
import io.damaskyoke.peer.wire.UpstreamLimit;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.PolledStore.Changes;
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

/** Converts the messages that direct routers exchange to frames of the peer protocol and back. */
final class PeerRouterFrames {
    private PeerRouterFrames() {}

    static Frame report(
            long number, LoadInput.DemandReported demandReport, RouterStatus status, Instant now) {
        RouterReport.Builder report =
                RouterReport.newBuilder()
                        .setNumber(number)
                        .setConfigurationRevision(status.configurationRevision())
                        .setUpstreamsRevision(status.upstreamsRevision())
                        .setDrainsRevision(status.drains().revision())
                        .setStoreUp(status.storeUp())
                        .setLateMs((int) status.lag().toMillis());
        status.drains()
                .notBefore()
                .forEach((zone, at) -> report.addDrainedZones(drainedZone(zone, at, now)));
        demandReport.demands().forEach(demand -> report.addDemand(demand(demand)));
        demandReport
                .running()
                .forEach(
                        (upstream, counts) ->
                                counts.forEach(
                                        (model, count) ->
                                                report.addRunning(
                                                        running(upstream, model, count))));
        demandReport.suspects().forEach(id -> report.addSuspects(id.value()));
        return Frame.newBuilder().setRouterReport(report).build();
    }

    private static DrainedZone drainedZone(String zone, Instant notBefore, Instant now) {
        boolean known = !notBefore.equals(Instant.MIN);
        long ago = known ? Duration.between(notBefore, now).toMillis() : Long.MAX_VALUE;
        return DrainedZone.newBuilder().setZone(zone).setAskedMsAgo(ago).build();
    }

    static RouterStatus status(RouterReport report, Instant now) {
        Map<String, Instant> drained = new HashMap<>();
        for (DrainedZone line : report.getDrainedZonesList()) {
            boolean known = line.getAskedMsAgo() != Long.MAX_VALUE;
            Instant notBefore = known ? now.minusMillis(line.getAskedMsAgo()) : Instant.MIN;
            drained.put(line.getZone(), notBefore);
        }
        return new RouterStatus(
                report.getConfigurationRevision(),
                report.getUpstreamsRevision(),
                new RouterStatus.DrainStatus(report.getDrainsRevision(), drained),
                report.getStoreUp(),
                Duration.ofMillis(report.getLateMs()));
    }

    static Frame replicaNews(long fencing, Map<UpstreamId, HeldModels> held) {
        ReplicaNews.Builder news = ReplicaNews.newBuilder().setFencing(fencing);
        held.forEach((upstream, models) -> news.addUpstreams(heldModels(upstream, models)));
        return Frame.newBuilder().setReplicaNews(news).build();
    }

    static Frame unansweredLoad(UnansweredLoadOrder load, Instant now) {
        UnansweredLoad line =
                UnansweredLoad.newBuilder()
                        .setUpstream(load.upstream().value())
                        .setLife(load.incarnation())
                        .setSequence(load.sequence())
                        .setModel(load.model().model())
                        .setAdapter(load.model().adapter())
                        .setAgeMs((int) Duration.between(load.sentAt(), now).toMillis())
                        .build();
        return Frame.newBuilder().setUnansweredLoad(line).build();
    }

    static UnansweredLoadOrder unansweredLoad(UnansweredLoad line, Instant now) {
        return new UnansweredLoadOrder(
                UpstreamId.of(line.getUpstream()),
                line.getLife(),
                line.getSequence(),
                new ModelRef(line.getModel(), line.getAdapter()),
                now.minusMillis(line.getAgeMs()));
    }

    static Frame limit(DeclaredLimits.Announcement announcement, boolean passOn) {
        UpstreamLimit limit =
                UpstreamLimit.newBuilder()
                        .setUpstream(announcement.upstream().value())
                        .setStartedAt(announcement.startedAt())
                        .setNamed(announcement.limit().isDeclared())
                        .setPerSecond(announcement.limit().perSecond())
                        .setAgeMs((int) announcement.age().toMillis())
                        .setPassOn(passOn)
                        .build();
        return Frame.newBuilder().setUpstreamLimit(limit).build();
    }

    static DeclaredLimits.Announcement limit(UpstreamLimit limit) {
        return new DeclaredLimits.Announcement(
                UpstreamId.of(limit.getUpstream()),
                limit.getStartedAt(),
                limit.getNamed()
                        ? RequestLimit.declared(limit.getPerSecond())
                        : RequestLimit.NO_LIMIT,
                Duration.ofMillis(limit.getAgeMs()));
    }

    static Frame lost(UpstreamId upstream, long startedAt, boolean passOn) {
        LostUpstream lost =
                LostUpstream.newBuilder()
                        .setUpstream(upstream.value())
                        .setStartedAt(startedAt)
                        .setPassOn(passOn)
                        .build();
        return Frame.newBuilder().setLostUpstream(lost).build();
    }

    static Frame leaving(UpstreamId upstream, long startedAt, boolean passOn) {
        UpstreamLeaving leaving =
                UpstreamLeaving.newBuilder()
                        .setUpstream(upstream.value())
                        .setStartedAt(startedAt)
                        .setPassOn(passOn)
                        .build();
        return Frame.newBuilder().setUpstreamLeaving(leaving).build();
    }

    static Frame departures(List<UpstreamDeparture> departures) {
        Departures.Builder all = Departures.newBuilder();
        for (UpstreamDeparture each : departures) {
            all.addDepartures(
                    io.damaskyoke.peer.wire.Departure.newBuilder()
                            .setUpstream(each.upstream().value())
                            .setRevision(each.revision())
                            .setGone(each.removed()));
        }
        return Frame.newBuilder().setDepartures(all).build();
    }

    static Frame changesFetch(long number, String prefix, long after, Duration wait) {
        ChangesFetch fetch =
                ChangesFetch.newBuilder()
                        .setNumber(number)
                        .setPrefix(prefix)
                        .setAfter(after)
                        .setWaitMs((int) wait.toMillis())
                        .build();
        return Frame.newBuilder().setChangesFetch(fetch).build();
    }

    static Frame changes(long number, Optional<Changes> changes) {
        StoreChanges.Builder answer = StoreChanges.newBuilder().setNumber(number);
        if (changes.isEmpty()) {
            answer.setRefused(true);
        } else {
            answer.setRevision(changes.get().revision());
            answer.setAgeMs((int) changes.get().age().toMillis());
            changes.get().changes().forEach(change -> answer.addChanges(storeChange(change)));
        }
        return Frame.newBuilder().setStoreChanges(answer).build();
    }

    private static StoreChange storeChange(Change change) {
        StoreChange.Builder line =
                StoreChange.newBuilder().setKey(change.key()).setRevision(change.revision());
        change.entry()
                .ifPresentOrElse(
                        entry -> line.setValue(ByteString.copyFrom(entry.value())),
                        () -> line.setRemoved(true));
        return line.build();
    }

    /** Returns the changes in a relay's answer; empty if the relay refused the fetch. */
    static Optional<Changes> changes(StoreChanges answer) {
        if (answer.getRefused()) {
            return Optional.empty();
        }
        List<Change> changes =
                answer.getChangesList().stream().map(PeerRouterFrames::change).toList();
        Duration age = Duration.ofMillis(answer.getAgeMs());
        return Optional.of(new Changes(changes, answer.getRevision(), age));
    }

    private static Change change(StoreChange line) {
        Optional<Entry> entry =
                line.getRemoved()
                        ? Optional.empty()
                        : Optional.of(
                                new Entry(
                                        line.getKey(),
                                        line.getValue().toByteArray(),
                                        line.getRevision(),
                                        0,
                                        0));
        return new Change(line.getKey(), line.getRevision(), entry);
    }

    private static ModelDemand demand(LoadInput.ModelDemand demand) {
        return ModelDemand.newBuilder()
                .setModel(demand.model().model())
                .setAdapter(demand.model().adapter())
                .setWaiting(demand.waiting())
                .setOldestMs((int) demand.longestWait().toMillis())
                .setUrgency(demand.urgency())
                .setPerSecond(demand.arrivalsPerSecond())
                .setInTime(demand.inTime())
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

    private static io.damaskyoke.peer.wire.HeldModels heldModels(
            UpstreamId upstream, HeldModels held) {
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

    static LoadInput.DemandReported demandReported(VmId from, RouterReport report) {
        List<LoadInput.ModelDemand> demands = new ArrayList<>();
        for (ModelDemand demand : report.getDemandList()) {
            demands.add(
                    new LoadInput.ModelDemand(
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
        return new LoadInput.DemandReported(from, demands, running, suspects);
    }

    static List<UpstreamDeparture> departures(Departures all) {
        return all.getDeparturesList().stream()
                .map(
                        each ->
                                new UpstreamDeparture(
                                        UpstreamId.of(each.getUpstream()),
                                        each.getRevision(),
                                        each.getGone()))
                .toList();
    }

    static Map<UpstreamId, HeldModels> heldModels(ReplicaNews news) {
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
