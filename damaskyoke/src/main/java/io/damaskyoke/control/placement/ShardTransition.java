package io.damaskyoke.control.placement;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Checks whether a new value of a shard is a legal change of the value that was read.
 *
 * <p>Every writer calls it just before its compare-and-swap. A mistake in a planner, or a planner
 * of an older release, then shows as a refused proposal and not as a second copy of a model on an
 * engine that has no memory for it. The compare-and-swap guarantees that the value that was checked
 * is the one that is replaced.
 */
public final class ShardTransition {
    private ShardTransition() {}

    /**
     * Returns what is wrong with a planner's proposal; empty if it may be written.
     *
     * @param maxReplicas returns how many grants a model may have, 0 if it is not configured
     */
    public static Optional<String> findPlannerViolation(
            Shard read, Shard proposed, ToIntFunction<ModelName> maxReplicas) {
        for (ReplicaGrant before : read.grants()) {
            Optional<ReplicaGrant> after = find(proposed, before);
            if (after.isEmpty() && !before.suspected()) {
                return Optional.of(
                        "a planner may remove a grant only while it is marked suspected: "
                                + before);
            }
            if (after.isPresent() && before.releasing() && !after.get().releasing()) {
                return Optional.of("a grant marked releasing must keep the mark: " + before);
            }
        }
        return findGrantViolation(read, proposed, maxReplicas);
    }

    /**
     * Returns what is wrong with a VM's proposal, which may change only its own grants; empty if it
     * may be written.
     */
    public static Optional<String> findHolderViolation(Shard read, Shard proposed, VmId holder) {
        for (ReplicaGrant before : read.grants()) {
            Optional<ReplicaGrant> after = find(proposed, before);
            boolean own = before.vm().equals(holder);
            if (after.isEmpty() && !(own && before.releasing())) {
                return Optional.of(
                        "a VM may remove only its own grants, and only those marked releasing: "
                                + before);
            }
            if (after.isPresent() && before.releasing() != after.get().releasing()) {
                return Optional.of("only a planner may mark a grant as releasing: " + before);
            }
        }
        return findGrantViolation(read, proposed, model -> 0);
    }

    private static Optional<String> findGrantViolation(
            Shard read, Shard proposed, ToIntFunction<ModelName> maxReplicas) {
        if (proposed.lastFencing() < read.lastFencing()) {
            return Optional.of("the highest fencing token must not decrease");
        }
        Set<Long> numbers = new HashSet<>();
        for (ReplicaGrant grant : proposed.grants()) {
            boolean isNew = find(read, grant).isEmpty();
            if (isNew && !hasNewFencing(grant, read, proposed, numbers)) {
                return Optional.of("a new grant needs a new fencing token: " + grant);
            }
            if (isNew && count(proposed, grant.model()) > maxReplicas.applyAsInt(grant.model())) {
                return Optional.of(
                        "more grants than maxReplicas allows for model " + grant.model());
            }
            if (isNew && isDuplicate(proposed, grant)) {
                return Optional.of("two grants for one model on one VM: " + grant);
            }
        }
        return Optional.empty();
    }

    private static boolean hasNewFencing(
            ReplicaGrant grant, Shard read, Shard proposed, Set<Long> numbers) {
        return grant.fencing() > read.lastFencing()
                && grant.fencing() <= proposed.lastFencing()
                && numbers.add(grant.fencing());
    }

    private static boolean isDuplicate(Shard shard, ReplicaGrant grant) {
        return grantsOf(shard, grant.model()).stream()
                        .filter(other -> other.vm().equals(grant.vm()))
                        .count()
                > 1;
    }

    private static int count(Shard shard, ModelName model) {
        return grantsOf(shard, model).size();
    }

    private static List<ReplicaGrant> grantsOf(Shard shard, ModelName model) {
        return shard.grants().stream().filter(grant -> grant.model().equals(model)).toList();
    }

    private static Optional<ReplicaGrant> find(Shard shard, ReplicaGrant grant) {
        return shard.grants().stream().filter(grant::isSameGrant).findFirst();
    }
}
