package io.damaskyoke.control.placement;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * The grants of some models, stored as one value. An adapter's grants are in the shard of its base
 * model, so that both can change at once.
 *
 * @param lastFencing the highest fencing token ever used in this shard
 * @param grants the grants, ordered by model, then VM
 */
public record Shard(long lastFencing, List<ReplicaGrant> grants) {
    /** The number of shards; a deployment must never change it. */
    public static final int COUNT = 64;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Comparator<ReplicaGrant> ORDER =
            Comparator.comparing((ReplicaGrant grant) -> grant.model().value())
                    .thenComparing(grant -> grant.vm().value());

    /** The value of a shard that was never written. */
    public static final Shard EMPTY = new Shard(0, List.of());

    /** Sorts the grants, so that equal shards have equal bytes. */
    public Shard {
        grants = grants.stream().sorted(ORDER).toList();
    }

    /** Returns the number of a model's shard; for an adapter pass its base model. */
    public static int numberOf(ModelName model) {
        return Math.floorMod(model.value().hashCode(), COUNT);
    }

    /** Returns a copy without the grants that match. */
    public Shard without(Predicate<ReplicaGrant> which) {
        return new Shard(lastFencing, grants.stream().filter(which.negate()).toList());
    }

    /** Returns a copy with the change applied to each grant. */
    public Shard map(UnaryOperator<ReplicaGrant> change) {
        return new Shard(lastFencing, grants.stream().map(change).toList());
    }

    /** Returns the stored JSON form. */
    public byte[] toJson() {
        try {
            List<StoredGrant> stored = grants.stream().map(StoredGrant::of).toList();
            return JSON.writeValueAsBytes(new Stored(lastFencing, stored));
        } catch (JsonProcessingException e) {
            throw new PlacementException(
                    PlacementException.Code.UNREADABLE, "can't write a shard as JSON", e);
        }
    }

    /** Parses the stored JSON form; throws a {@link PlacementException} if it can't be read. */
    public static Shard parse(byte[] json) {
        try {
            Stored stored = JSON.readValue(json, Stored.class);
            return new Shard(
                    stored.fencing(), stored.grants().stream().map(StoredGrant::grant).toList());
        } catch (IOException | IllegalArgumentException e) {
            throw new PlacementException(
                    PlacementException.Code.UNREADABLE,
                    "can't read a shard from its stored JSON",
                    e);
        }
    }

    private record Stored(
            @JsonProperty("fencing") long fencing,
            @JsonProperty("rights") List<StoredGrant> grants) {}

    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    private record StoredGrant(
            @JsonProperty("model") String model,
            @JsonProperty("vm") String vm,
            @JsonProperty("fencing") long fencing,
            @JsonProperty("releasing") boolean releasing,
            @JsonProperty("suspected") boolean suspected) {
        static StoredGrant of(ReplicaGrant grant) {
            return new StoredGrant(
                    grant.model().value(),
                    grant.vm().value(),
                    grant.fencing(),
                    grant.releasing(),
                    grant.suspected());
        }

        ReplicaGrant grant() {
            return new ReplicaGrant(
                    ModelName.of(model), VmId.of(vm), fencing, releasing, suspected);
        }
    }
}
