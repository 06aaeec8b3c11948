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
    private final Consumer<ModelGrants> holder;
    private final Predicate<ModelName> isClear;
    private final Metrics metrics;
    private final Timeline timeline;
    private final long life;
    private final Set<Integer> swapping = new HashSet<>();
    private PlacementTable table = PlacementTable.UNREAD;
    private Map<ModelName, Long> granted = Map.of();

    private GrantFollower(Node node, Consumer<ModelGrants> holder, Predicate<ModelName> isClear) {
        this.control = node.control();
        this.vm = node.vm();
        this.store = new PlacementStore(node.store(), node.storePrefix());
        this.feed = new PollingPlacementFeed(control, store, node.placementPause(), node.metrics());
        this.holder = holder;
        this.isClear = isClear;
        this.metrics = node.metrics();
        this.timeline = node.timeline();
        this.life = control.clock().millis();
    }

    /**
     * Starts to read the placement table.
     *
     * @param holder receives the grants of this VM, for the first time once the store has answered
     * @param isClear tests that the engine holds nothing of a model
     */
    static GrantFollower start(
            Node node, Consumer<ModelGrants> holder, Predicate<ModelName> isClear) {
        GrantFollower follower = new GrantFollower(node, holder, isClear);
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

    /** Gives up the grants that can be released; must be called several times per second. */
    void tick() {
        table.shards().forEach(this::removeReleased);
    }

    private void tableRead(PlacementTable newer) {
        boolean first = !table.isRead();
        table = newer;
        Map<ModelName, Long> now = new TreeMap<>();
        for (ReplicaGrant right : newer.grantsOf(vm)) {
            if (right.usable()) {
                now.put(right.model(), fencingNumber(right));
            }
        }
        if (first || !now.equals(granted)) {
            recordNewGrants(now);
            granted = now;
            holder.accept(ModelGrants.of(now));
        }
        tick();
    }

    // A grant outlives this process. With its fencing number alone, the engine could not tell an
    // order of this incarnation from one of the previous incarnation that the network delayed.
    private long fencingNumber(ReplicaGrant right) {
        return Math.max(right.fencing(), life);
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
                        .map(right -> right.vm().equals(vm) ? right.withoutSuspicion() : right);
        if (changed.equals(stored.shard()) || !swapping.add(number)) {
            return;
        }
        store.changeGrants(number, stored, vm, read -> changed)
                .whenComplete(
                        (done, failure) ->
                                control.run(() -> shardWritten(number, stored, done, failure)));
    }

    private boolean isReleased(ReplicaGrant right) {
        return right.vm().equals(vm) && right.releasing() && isClear.test(right.model());
    }

    private void shardWritten(
            int number, PlacementTable.Stored stored, Boolean done, Throwable failure) {
        swapping.remove(number);
        if (failure != null) {
            metrics.count("placement_write_failures");
        } else if (done) {
            releasedModels(stored.shard().grants())
                    .forEach(model -> timeline.add(EventType.RIGHT_RELEASED, model.value()));
        }
        feed.refresh();
    }

    private List<ModelName> releasedModels(List<ReplicaGrant> rights) {
        return rights.stream().filter(this::isReleased).map(ReplicaGrant::model).toList();
    }
}
