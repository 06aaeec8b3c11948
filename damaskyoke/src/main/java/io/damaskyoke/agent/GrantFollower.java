package io.damaskyoke.agent;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.placement.PlacementFeed;
import io.damaskyoke.control.placement.PlacementStore;
import io.damaskyoke.control.placement.PlacementTable;
import io.damaskyoke.control.placement.PollingPlacementFeed;
import io.damaskyoke.control.placement.ReplicaGrant;
import io.damaskyoke.control.placement.Shard;
import io.damaskyoke.control.replicas.ModelGrants;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.node.Node;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Follows the placement table: passes on which models this VM may hold, and gives up a grant that
 * is marked as releasing once the engine certainly holds nothing of its model. Control thread only.
 */
final class GrantFollower {
    private final ControlThread control;
    private final VmId vm;
    private final PlacementStore store;
    private final PlacementFeed feed;
    private final Consumer<ModelGrants> listener;
    private final Predicate<ModelName> holdsNothingOf;
    private final Metrics metrics;
    private final Timeline timeline;
    private final long startMillis;
    private final Set<Integer> shardsBeingWritten = new HashSet<>();
    private PlacementTable table = PlacementTable.UNREAD;
    private Map<ModelName, Long> granted = Map.of();

    private GrantFollower(
            Node node, Consumer<ModelGrants> listener, Predicate<ModelName> holdsNothingOf) {
        this.control = node.control();
        this.vm = node.vm();
        this.store = new PlacementStore(node.store(), node.storePrefix());
        this.feed = new PollingPlacementFeed(control, store, node.placementPause(), node.metrics());
        this.listener = listener;
        this.holdsNothingOf = holdsNothingOf;
        this.metrics = node.metrics();
        this.timeline = node.timeline();
        this.startMillis = control.clock().millis();
    }

    /**
     * Starts to read the placement table.
     *
     * @param listener receives the grants of this VM, for the first time once the store has
     *     answered
     * @param holdsNothingOf tests that the engine holds nothing of a model
     */
    static GrantFollower start(
            Node node, Consumer<ModelGrants> listener, Predicate<ModelName> holdsNothingOf) {
        GrantFollower follower = new GrantFollower(node, listener, holdsNothingOf);
        follower.feed.start(follower::tableRead);
        return follower;
    }

    /** Returns true once the placement table has been read from the store. */
    boolean isKnown() {
        return table.isRead();
    }

    /** Returns true if this VM may hold the model. */
    boolean isGranted(ModelName model) {
        return granted.containsKey(model);
    }

    /** Reads the placement table again and then runs the step, even if the read failed. */
    void refresh(Runnable afterwards) {
        feed.refresh(afterwards);
    }

    /**
     * Gives up the grants that can be released and clears the suspicion from the others of this VM;
     * must be called several times per second.
     */
    void tick() {
        table.shards().forEach(this::removeReleased);
    }

    private void tableRead(PlacementTable newer) {
        boolean first = !table.isRead();
        table = newer;
        Map<ModelName, Long> now = new TreeMap<>();
        for (ReplicaGrant grant : newer.grantsOf(vm)) {
            if (grant.usable()) {
                now.put(grant.model(), fencingNumber(grant));
            }
        }
        if (first || !now.equals(granted)) {
            recordNewGrants(now);
            granted = now;
            listener.accept(ModelGrants.of(now));
        }
        tick();
    }

    // A grant outlives this process. With its fencing number alone, the engine could not tell an
    // order of this incarnation from one of the previous incarnation that the network delayed.
    // So the start time of this process, in milliseconds, is the lowest number it uses.
    private long fencingNumber(ReplicaGrant grant) {
        return Math.max(grant.fencing(), startMillis);
    }

    private void recordNewGrants(Map<ModelName, Long> now) {
        for (ModelName model : now.keySet()) {
            if (!granted.containsKey(model)) {
                timeline.add(EventType.RIGHT_GRANTED, model.value());
            }
        }
    }

    private void removeReleased(int number, PlacementTable.Stored stored) {
        Shard changed =
                stored.shard()
                        .without(this::isReleased)
                        .map(grant -> grant.vm().equals(vm) ? grant.withoutSuspicion() : grant);
        if (changed.equals(stored.shard()) || !shardsBeingWritten.add(number)) {
            return;
        }
        store.changeGrants(number, stored, vm, read -> changed)
                .whenComplete(
                        (done, failure) ->
                                control.run(() -> shardWritten(number, stored, done, failure)));
    }

    private boolean isReleased(ReplicaGrant grant) {
        return grant.vm().equals(vm) && grant.releasing() && holdsNothingOf.test(grant.model());
    }

    private void shardWritten(
            int number, PlacementTable.Stored stored, Boolean done, Throwable failure) {
        shardsBeingWritten.remove(number);
        if (failure != null) {
            metrics.count("placement_write_failures");
        } else if (done) {
            releasedModels(stored.shard().grants())
                    .forEach(model -> timeline.add(EventType.RIGHT_RELEASED, model.value()));
        }
        feed.refresh();
    }

    private List<ModelName> releasedModels(List<ReplicaGrant> replicaGrants) {
        return replicaGrants.stream().filter(this::isReleased).map(ReplicaGrant::model).toList();
    }
}
