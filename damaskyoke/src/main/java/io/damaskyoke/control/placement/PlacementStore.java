package io.damaskyoke.control.placement;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.LogKeys;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Reads and writes the placement table in the platform's store.
 *
 * <p>Every write is checked to be a legal change of the value that was read, and takes effect only
 * if that value is still stored. A caller that gets no clear answer reads the table again.
 */
public final class PlacementStore {
    private static final String SHARD_PREFIX = "/placement/";
    private static final String VERSION_KEY = "/placement-version";
    private static final String LEASE_KEY = "/placement-lease";

    private static final byte[] EMPTY_VALUE = {};

    private final KeyValueStore store;
    private final String prefix;
    private final Map<String, Integer> shardNumbers;

    /** Creates a store client for the table under this key prefix. */
    public PlacementStore(KeyValueStore store, String prefix) {
        this.store = store;
        this.prefix = prefix;
        this.shardNumbers =
                IntStream.range(0, Shard.COUNT)
                        .boxed()
                        .collect(Collectors.toMap(this::key, Function.identity()));
    }

    /** Returns a number that changes with every write of a shard; 0 before the first write. */
    public CompletionStage<Long> version() {
        return store.read(prefix + VERSION_KEY)
                .thenApply(entry -> entry.map(KeyValueStore.Entry::modRevision).orElse(0L));
    }

    /** Reads the whole table in one call. Keys that name no shard are ignored. */
    public CompletionStage<PlacementTable> read() {
        return store.list(prefix + SHARD_PREFIX).thenApply(this::table);
    }

    /**
     * Replaces a shard by a planner's proposal. Returns true if it took effect; it does not if the
     * shard was written in the meantime, or if a configuration newer than the planner's has been
     * accepted.
     */
    public CompletionStage<Boolean> applyProposal(
            PlacementPlanner.Proposal proposal, Configuration configuration) {
        requireLegal(
                ShardTransition.findPlannerViolation(
                        proposal.read(),
                        proposal.value(),
                        name -> maxReplicas(configuration, name)));
        // A planner with an old configuration would grant more than the newest one allows. The log
        // has one key per sequence number, so if the next one is absent, there is no newer
        // configuration.
        Condition noNewerConfiguration =
                new Condition.Absent(LogKeys.entry(prefix, configuration.sequence() + 1));
        return swap(
                proposal.shard(),
                proposal.value(),
                proposal.modRevision(),
                List.of(noNewerConfiguration));
    }

    /**
     * Replaces a shard by a change to the grants of one VM, made by that VM or by a process that
     * has received a message from it. Returns true if it took effect.
     *
     * @param number the shard's number
     * @param read the shard as it was read
     * @param holder the VM whose grants change
     * @param change computes the new value from the one that was read
     */
    public CompletionStage<Boolean> changeGrants(
            int number, PlacementTable.Stored read, VmId holder, UnaryOperator<Shard> change) {
        Shard value = change.apply(read.shard());
        requireLegal(ShardTransition.findHolderViolation(read.shard(), value, holder));
        return swap(number, value, read.modRevision(), List.of());
    }

    /** Writes the planner's key under the lease; returns false if another process holds it. */
    public CompletionStage<Boolean> acquireLease(long lease, byte[] holder) {
        return store.commit(
                        List.of(new Condition.Absent(prefix + LEASE_KEY)),
                        List.of(new Write.Put(prefix + LEASE_KEY, holder, lease)))
                .thenApply(KeyValueStore.TxnResult::committed);
    }

    private CompletionStage<Boolean> swap(
            int number, Shard value, long modRevision, List<Condition> extraConditions) {
        String key = key(number);
        List<Condition> conditions = new ArrayList<>(extraConditions);
        conditions.add(
                modRevision == 0
                        ? new Condition.Absent(key)
                        : new Condition.Unchanged(key, modRevision));
        Write shard = new Write.Put(key, value.toJson(), 0);
        Write version = new Write.Put(prefix + VERSION_KEY, EMPTY_VALUE, 0);
        return store.commit(conditions, List.of(shard, version))
                .thenApply(KeyValueStore.TxnResult::committed);
    }

    // An unreadable shard fails the read. If it counted as empty, its grants would be given twice.
    private PlacementTable table(KeyValueStore.Listing listing) {
        Map<Integer, PlacementTable.Stored> shards = new HashMap<>();
        for (KeyValueStore.Entry entry : listing.entries()) {
            Integer number = shardNumbers.get(entry.key());
            if (number != null) {
                Shard shard = Shard.parse(entry.value());
                shards.put(number, new PlacementTable.Stored(shard, entry.modRevision()));
            }
        }
        return new PlacementTable(listing.revision(), shards);
    }

    private String key(int number) {
        return prefix + SHARD_PREFIX + String.format(Locale.ROOT, "%03d", number);
    }

    private static int maxReplicas(Configuration configuration, ModelName name) {
        Model model = configuration.models().get(name);
        return model == null ? 0 : model.maxReplicas();
    }

    private static void requireLegal(Optional<String> violation) {
        if (violation.isPresent()) {
            throw new PlacementException(PlacementException.Code.ILLEGAL_CHANGE, violation.get());
        }
    }
}
